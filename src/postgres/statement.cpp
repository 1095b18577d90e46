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

void set_field(std::string_view name, std::string_view value, Statement& statement) {
  if (name == "id")
    statement.id = value;
  if (name == "c")
    statement.service_class = value;
  if (name == "d")
    statement.deadline = value;
  if (name == "k")
    statement.idempotency = value;
  if (name == "cluster")
    statement.group = value;
  if (name == "after")
    statement.after = value;
  if (name == "r")
    statement.retry = value;
}

void read_comment(std::string_view text, Statement& statement) {
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = trim(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos)
      set_field(pair.substr(0, equals), pair.substr(equals + 1), statement);
  }
}

/// The position of the quote that ends a literal whose content begins at `begin`. A quote within
/// the literal is doubled.
std::size_t find_closing_quote(std::string_view text, std::size_t begin) {
  std::size_t quote = text.find('\'', begin);
  while (quote != std::string_view::npos && text.compare(quote, 2, "''") == 0)
    quote = text.find('\'', quote + 2);
  return quote;
}

/// Walks over a statement's text once.
class StatementReader {
public:
  explicit StatementReader(std::string_view text) : text_(text) {}

  Statement read() {
    while (position_ < text_.size())
      if (!read_next())
        break;
    constexpr std::string_view kSelect = "select";
    statement_.is_select =
        first_word_.size() == kSelect.size() &&
        g_ascii_strncasecmp(first_word_.data(), kSelect.data(), kSelect.size()) == 0;
    return statement_;
  }

private:
  /// Returns false where a comment or a literal does not end.
  bool read_next() {
    if (text_.compare(position_, 2, "/*") == 0)
      return read_comment_block();
    const char c = text_[position_];
    if (!is_space(c) && c != ';' && has_ended_)
      statement_.has_several = true;
    if (c == '\'')
      return read_literal();
    if (c == ';')
      has_ended_ = true;
    if (first_word_.empty() && is_letter(c))
      read_word();
    else
      ++position_;
    return true;
  }

  bool read_comment_block() {
    const std::size_t begin = position_ + 2;
    const std::size_t end = text_.find("*/", begin);
    if (end == std::string_view::npos)
      return false;
    read_comment(text_.substr(begin, end - begin), statement_);
    position_ = end + 2;
    return true;
  }

  bool read_literal() {
    const std::size_t begin = position_ + 1;
    const std::size_t end = find_closing_quote(text_, begin);
    if (end == std::string_view::npos)
      return false;
    if (statement_.key.data() == nullptr)
      statement_.key = text_.substr(begin, end - begin);
    position_ = end + 1;
    return true;
  }

  void read_word() {
    const std::size_t begin = position_;
    while (position_ < text_.size() && is_letter(text_[position_]))
      ++position_;
    first_word_ = text_.substr(begin, position_ - begin);
  }

  std::string_view text_;
  std::size_t position_ = 0;
  std::string_view first_word_;
  bool has_ended_ = false;  ///< A semicolon was read.
  Statement statement_;
};

}  // namespace

Statement read_statement(std::string_view text) {
  return StatementReader(text).read();
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
