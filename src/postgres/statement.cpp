#include "statement.h"

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace gorsebeam::postgres {
namespace {

bool is_space(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f';
}

bool is_letter(char c) {
  return g_ascii_isalpha(c) != 0;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && is_space(text.front()))
    text.remove_prefix(1);
  while (!text.empty() && is_space(text.back()))
    text.remove_suffix(1);
  return text;
}

void set_field(Statement& statement, std::string_view name, std::string_view value) {
  if (name == "id")
    statement.id = value;
  else if (name == "c")
    statement.service_class = value;
  else if (name == "d")
    statement.deadline = value;
  else if (name == "k")
    statement.idempotency_key = value;
  else if (name == "cluster")
    statement.group = value;
  else if (name == "after")
    statement.last_write = value;
  else if (name == "r")
    statement.retry = value;
}

/// Sets the fields of `statement` that the text of a comment holds. A field that occurs again
/// replaces the earlier one.
void read_comment_fields(std::string_view comment, Statement& statement) {
  while (!comment.empty()) {
    const std::size_t comma = comment.find(',');
    const std::string_view pair = trim(comment.substr(0, comma));
    comment = comma == std::string_view::npos ? std::string_view() : comment.substr(comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos)
      set_field(statement, pair.substr(0, equals), pair.substr(equals + 1));
  }
}

/// Returns the position of the quote that ends a literal whose content begins at `begin`, or npos
/// if the literal does not end. A doubled quote belongs to the content.
std::size_t find_closing_quote(std::string_view text, std::size_t begin) {
  std::size_t quote = text.find('\'', begin);
  while (quote != std::string_view::npos && text.compare(quote, 2, "''") == 0)
    quote = text.find('\'', quote + 2);
  return quote;
}

bool is_select(std::string_view word) {
  constexpr std::string_view kSelect = "select";
  return word.size() == kSelect.size() &&
         g_ascii_strncasecmp(word.data(), kSelect.data(), kSelect.size()) == 0;
}

/// Reads the text of a statement in one pass.
class StatementScanner {
public:
  explicit StatementScanner(std::string_view text) : text_(text) {}

  Statement scan() {
    while (position_ < text_.size())
      if (!scan_next())
        break;
    statement_.is_select = is_select(first_word_);
    return statement_;
  }

private:
  /// Reads the next comment, literal, first word or character. Returns false if a comment or a
  /// literal does not end.
  bool scan_next() {
    if (text_.compare(position_, 2, "/*") == 0)
      return scan_comment();
    const char c = text_[position_];
    if (!is_space(c) && c != ';' && has_seen_semicolon_)
      statement_.has_multiple_statements = true;
    if (c == '\'')
      return scan_literal();
    if (c == ';')
      has_seen_semicolon_ = true;
    if (first_word_.empty() && is_letter(c))
      scan_first_word();
    else
      ++position_;
    return true;
  }

  bool scan_comment() {
    const std::size_t begin = position_ + 2;
    const std::size_t end = text_.find("*/", begin);
    if (end == std::string_view::npos)
      return false;
    read_comment_fields(text_.substr(begin, end - begin), statement_);
    position_ = end + 2;
    return true;
  }

  bool scan_literal() {
    const std::size_t begin = position_ + 1;
    const std::size_t end = find_closing_quote(text_, begin);
    if (end == std::string_view::npos)
      return false;
    if (statement_.first_literal.data() == nullptr)
      statement_.first_literal = text_.substr(begin, end - begin);
    position_ = end + 1;
    return true;
  }

  void scan_first_word() {
    const std::size_t begin = position_;
    while (position_ < text_.size() && is_letter(text_[position_]))
      ++position_;
    first_word_ = text_.substr(begin, position_ - begin);
  }

  std::string_view text_;
  std::size_t position_ = 0;
  std::string_view first_word_;
  bool has_seen_semicolon_ = false;  ///< A semicolon outside of comments and literals was read.
  Statement statement_;
};

}  // namespace

Statement parse_statement(std::string_view text) {
  return StatementScanner(text).scan();
}

bool is_blank(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return is_space(c) || c == ';';
  });
}

std::optional<std::uint64_t> parse_whole_number(std::string_view text, std::uint64_t max) {
  std::uint64_t value = 0;
  const char* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  if (text.empty() || error != std::errc() || end != text_end || value > max)
    return std::nullopt;
  return value;
}

}  // namespace gorsebeam::postgres
