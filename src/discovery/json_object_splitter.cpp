#include "json_object_splitter.h"

namespace gorsebeam::discovery {

void JsonObjectSplitter::clear() {
  *this = JsonObjectSplitter();
}

JsonObjectSplitter::Output JsonObjectSplitter::next() {
  if (depth_ == 0) {
    text_.erase(0, position_);
    position_ = 0;
  }
  for (; position_ < text_.size(); ++position_) {
    const Scan result = scan(text_[position_]);
    if (result == Scan::Malformed)
      return {Status::Malformed, {}};
    if (result == Scan::ObjectEnd) {
      ++position_;
      return {Status::Object, std::string_view(text_).substr(begin_, position_ - begin_)};
    }
  }
  return {text_.size() > kMaxObjectSize ? Status::Malformed : Status::NeedsInput, {}};
}

JsonObjectSplitter::Scan JsonObjectSplitter::scan(char c) {
  if (in_string_)
    return scan_quoted(c);
  if (c == ' ' || c == '\t' || c == '\r')
    return Scan::Continue;
  if (c == '\n')
    return scan_line_end();
  blank_line_ = false;
  if (depth_ == 0 && c != '{')
    return Scan::Malformed;
  if (depth_ == 0)
    begin_ = position_;
  in_string_ = c == '"';
  if (c == '{' || c == '[')
    ++depth_;
  if (c != '}' && c != ']')
    return Scan::Continue;
  --depth_;
  return depth_ == 0 ? Scan::ObjectEnd : Scan::Continue;
}

JsonObjectSplitter::Scan JsonObjectSplitter::scan_quoted(char c) {
  if (c == '\n')
    return Scan::Malformed;
  in_string_ = escaped_ || c != '"';
  escaped_ = !escaped_ && c == '\\';
  return Scan::Continue;
}

JsonObjectSplitter::Scan JsonObjectSplitter::scan_line_end() {
  if (depth_ > 0 && blank_line_)
    return Scan::Malformed;
  blank_line_ = true;
  return Scan::Continue;
}

}  // namespace gorsebeam::discovery
