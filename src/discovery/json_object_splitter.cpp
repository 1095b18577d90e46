#include "json_object_splitter.h"

namespace gorsebeam::discovery {

void JsonObjectSplitter::clear() {
  *this = JsonObjectSplitter();
}

JsonObjectSplitter::Output JsonObjectSplitter::next() {
  if (depth_ == 0) {
    text_.erase(0, scanned_size_);
    scanned_size_ = 0;
  }
  for (; scanned_size_ < text_.size(); ++scanned_size_) {
    const ScanResult result = scan(text_[scanned_size_]);
    if (result == ScanResult::Malformed)
      return {Status::Malformed, {}};
    if (result == ScanResult::ObjectEnd) {
      ++scanned_size_;
      return {Status::Object,
              std::string_view(text_).substr(object_begin_, scanned_size_ - object_begin_)};
    }
  }
  return {text_.size() > kMaxObjectSize ? Status::Malformed : Status::NeedsInput, {}};
}

JsonObjectSplitter::ScanResult JsonObjectSplitter::scan(char c) {
  if (is_in_string_)
    return scan_quoted(c);
  if (c == ' ' || c == '\t' || c == '\r')
    return ScanResult::Continue;
  if (c == '\n')
    return scan_line_end();
  is_blank_line_ = false;
  if (depth_ == 0 && c != '{')
    return ScanResult::Malformed;
  if (depth_ == 0)
    object_begin_ = scanned_size_;
  is_in_string_ = c == '"';
  if (c == '{' || c == '[')
    ++depth_;
  if (c != '}' && c != ']')
    return ScanResult::Continue;
  --depth_;
  return depth_ == 0 ? ScanResult::ObjectEnd : ScanResult::Continue;
}

JsonObjectSplitter::ScanResult JsonObjectSplitter::scan_quoted(char c) {
  if (c == '\n')
    return ScanResult::Malformed;
  is_in_string_ = is_escaped_ || c != '"';
  is_escaped_ = !is_escaped_ && c == '\\';
  return ScanResult::Continue;
}

JsonObjectSplitter::ScanResult JsonObjectSplitter::scan_line_end() {
  if (depth_ > 0 && is_blank_line_)
    return ScanResult::Malformed;
  is_blank_line_ = true;
  return ScanResult::Continue;
}

}  // namespace gorsebeam::discovery
