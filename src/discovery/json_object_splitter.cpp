#include "json_object_splitter.h"

namespace gorsebeam::discovery {

void JsonObjectSplitter::clear() {
  *this = JsonObjectSplitter();
}

JsonObjectSplitter::Step JsonObjectSplitter::next(std::string_view& object) {
  if (depth_ == 0)
    text_.erase(0, at_), at_ = 0;
  for (; at_ < text_.size(); ++at_) {
    const char c = text_[at_];
    if (quoted_) {
      if (c == '\n')
        return Step::Broken;
      quoted_ = escaped_ || c != '"';
      escaped_ = !escaped_ && c == '\\';
      continue;
    }
    if (c == ' ' || c == '\t' || c == '\r')
      continue;
    if (c == '\n') {
      if (depth_ > 0 && blank_)
        return Step::Broken;
      blank_ = true;
      continue;
    }
    blank_ = false;
    if (depth_ == 0 && c != '{')
      return Step::Broken;
    if (depth_ == 0)
      begin_ = at_;
    quoted_ = c == '"';
    depth_ += c == '{' || c == '[';
    if ((c != '}' && c != ']') || --depth_ > 0)
      continue;
    object = std::string_view(text_).substr(begin_, ++at_ - begin_);
    return Step::Object;
  }
  return text_.size() > kMost ? Step::Broken : Step::More;
}

}  // namespace gorsebeam::discovery
