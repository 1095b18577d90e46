#include "operator_file_formatter.h"

#include "parsed_operator_file.h"

#include <algorithm>
#include <string_view>

namespace gorsebeam::config {
namespace {

constexpr std::size_t kIndentWidth = 2;

/// Copies the tokens of the text unchanged and replaces the white space between them. Protobuf's
/// own printer would lose the comments. The text must match the schema, so its brackets and quotes
/// are balanced.
class Formatter {
public:
  explicit Formatter(std::string_view text) : text_(text) {}

  [[nodiscard]] std::string format() {
    while (position_ < text_.size())
      format_token();
    end_line();
    while (output_.size() > 1 && output_[output_.size() - 2] == '\n')
      output_.pop_back();
    return std::move(output_);
  }

private:
  void format_token() {
    const char next = text_[position_];
    if (next == '\n')
      return format_line_end();
    const bool is_separator = next == ';' || (next == ',' && list_depth_ == 0);
    if (next == ' ' || next == '\t' || next == '\r' || is_separator)
      return skip_space_or_separator(next);
    line_ends_ = 0;
    switch (next) {
    case '#':
      return copy_comment();
    case '"':
    case '\'':
      return copy_string(next);
    case '{':
    case '<':
      return open_message();
    case '}':
    case '>':
      return close_message();
    case '[':
    case ']':
      return copy_list_bracket(next);
    case ':':
    case ',':
      return copy_punctuation(next);
    default:
      return copy_word();
    }
  }

  /// Ends the output line unless its field is incomplete, as a field's value may follow on the next
  /// line of the input.
  void format_line_end() {
    const std::size_t last = line_.find_last_not_of(' ');
    const bool is_open = last == std::string::npos || line_[last] == ':' || list_depth_ > 0;
    if (!is_open)
      end_line();
    ++line_ends_;
    if (line_ends_ == 2 && line_.empty() && !output_.empty())
      output_ += '\n';
    ++position_;
  }

  void skip_space_or_separator(char next) {
    if (next == ' ' || next == '\t')
      append_space();
    if (next == ';' || next == ',')
      end_line();
    ++position_;
  }

  void copy_comment() {
    const std::size_t end = std::min(text_.find('\n', position_), text_.size());
    append_space();
    copy_until(end);
    end_line();
  }

  void copy_string(char quote) {
    std::size_t end = position_ + 1;
    while (end < text_.size() && text_[end] != quote)
      end += text_[end] == '\\' ? 2 : 1;
    copy_until(end + 1);
  }

  void open_message() {
    while (!line_.empty() && (line_.back() == ' ' || line_.back() == ':'))
      line_.pop_back();
    line_ += " {";
    end_line();
    ++level_;
    ++position_;
  }

  void close_message() {
    end_line();
    if (level_ > 0)
      --level_;
    line_ = "}";
    end_line();
    ++position_;
  }

  void copy_list_bracket(char bracket) {
    list_depth_ += bracket == '[' ? 1 : -1;
    line_ += bracket;
    ++position_;
  }

  void copy_punctuation(char punctuation) {
    trim_trailing_spaces();
    line_ += punctuation;
    line_ += ' ';
    ++position_;
  }

  /// Copies a word. A word after a complete value is the name of the next field and starts a new
  /// line.
  void copy_word() {
    const std::size_t end =
        std::min(text_.find_first_of(" \t\r\n;,#\"'{}<>:[]", position_), text_.size());
    const std::size_t colon = line_.find(": ");
    const bool has_value =
        list_depth_ == 0 && colon != std::string::npos && colon + 2 < line_.size();
    if (has_value && line_.back() == ' ')
      end_line();
    copy_until(end);
  }

  void copy_until(std::size_t end) {
    line_ += text_.substr(position_, end - position_);
    position_ = end;
  }

  void append_space() {
    if (!line_.empty() && line_.back() != ' ')
      line_ += ' ';
  }

  void trim_trailing_spaces() {
    while (!line_.empty() && line_.back() == ' ')
      line_.pop_back();
  }

  void end_line() {
    trim_trailing_spaces();
    if (!line_.empty())
      output_ += std::string(level_ * kIndentWidth, ' ') + line_ + '\n';
    line_.clear();
  }

  std::string_view text_;
  std::size_t position_ = 0;
  std::string output_;
  std::string line_;       ///< The line to be appended to `output_`, without its indentation.
  std::size_t level_ = 0;  ///< The number of messages that are open.
  int list_depth_ = 0;     ///< The number of square brackets that are open.
  int line_ends_ = 0;      ///< The number of line ends since the last token.
};

}  // namespace

common::Result<std::string, settings::FileError> format_operator_file(const std::string& path) {
  const auto file = ParsedOperatorFile::parse(path);
  if (!file)
    return file.error();
  return Formatter(file.value().text()).format();
}

}  // namespace gorsebeam::config
