#include "bson.h"

#include <cmath>
#include <cstring>

namespace gorsebeam::mongo {
namespace {

constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kObjectIdSize = 12;
constexpr std::size_t kDecimal128Size = 16;
constexpr double kMaxExactDouble = 9e15;  // integers up to about here are exact in a double

}  // namespace

Reader::Reader(std::string_view document) {
  malformed_ = document.size() < kMinDocumentSize || read_u32(document.data()) != document.size() ||
               document.back() != '\0';
  if (!malformed_)
    rest_ = document.substr(kLengthSize, document.size() - kMinDocumentSize);
}

bool Reader::read_bytes(std::size_t size, std::string_view& out) {
  if (size > rest_.size())
    return false;
  out = rest_.substr(0, size);
  rest_.remove_prefix(size);
  return true;
}

bool Reader::read_text(std::string_view& out) {
  const std::size_t end = rest_.find('\0');
  if (end == std::string_view::npos)
    return false;
  out = rest_.substr(0, end);
  rest_.remove_prefix(end + 1);
  return true;
}

bool Reader::read_sized(LengthCounts counts, std::size_t extra, std::string_view& out) {
  if (rest_.size() < kLengthSize)
    return false;
  const std::size_t length = read_u32(rest_.data());
  if (length > rest_.size())
    return false;
  if (counts == LengthCounts::ContentOnly)
    return read_bytes(kLengthSize + length + extra, out);
  return length >= kMinDocumentSize && read_bytes(length, out);
}

// The length of a string counts the zero byte at its end.
bool Reader::read_string(std::string_view& out) {
  if (!read_sized(LengthCounts::ContentOnly, 0, out))
    return false;
  if (out.size() < kLengthSize + 1 || out.back() != '\0')
    return false;
  out = out.substr(kLengthSize, out.size() - kLengthSize - 1);
  return true;
}

bool Reader::read_regex(std::string_view& out) {
  std::string_view options;
  return read_text(out) && read_text(options);
}

bool Reader::next(Element& element) {
  if (malformed_ || rest_.empty())
    return false;
  const std::string_view begin = rest_;
  element = Element{};
  element.type = rest_.front();
  rest_.remove_prefix(1);
  malformed_ = !read_text(element.name) || !read_value(element);
  element.complete = begin.substr(0, begin.size() - rest_.size());
  return !malformed_;
}

bool Reader::read_value(Element& element) {
  switch (element.type) {
  case kTypeDouble:
  case kTypeDate:
  case kTypeTimestamp:
  case kTypeInt64:
    return read_bytes(8, element.value);
  case kTypeInt32:
    return read_bytes(4, element.value);
  case kTypeBoolean:
    return read_bytes(1, element.value);
  case kTypeObjectId:
    return read_bytes(kObjectIdSize, element.value);
  case kTypeDecimal128:
    return read_bytes(kDecimal128Size, element.value);
  case kTypeString:
  case kTypeJavaScript:
  case kTypeSymbol:
    return read_string(element.value);
  case kTypeDocument:
  case kTypeArray:
  case kTypeJavaScriptWithScope:
    return read_sized(LengthCounts::ItselfToo, 0, element.value);
  case kTypeBinary:  // a subtype stands behind the length
    return read_sized(LengthCounts::ContentOnly, 1, element.value);
  case kTypeDbPointer:
    return read_sized(LengthCounts::ContentOnly, kObjectIdSize, element.value);
  case kTypeRegex:
    return read_regex(element.value);
  case kTypeUndefined:
  case kTypeNull:
  case kTypeMaxKey:
  case kTypeMinKey:
    return true;
  default:
    return false;
  }
}

bool is_well_formed(std::string_view document, int depth) {
  Reader reader(document);
  Element element;
  while (reader.next(element)) {
    const bool is_nested = element.type == kTypeDocument || element.type == kTypeArray;
    if (is_nested && (depth == 0 || !is_well_formed(element.value, depth - 1)))
      return false;
  }
  return !reader.is_malformed();
}

std::optional<Element> find(std::string_view document, std::string_view name) {
  Reader reader(document);
  Element element;
  while (reader.next(element))
    if (element.name == name)
      return element;
  return std::nullopt;
}

std::optional<std::int64_t> to_integer(const Element& element) {
  if (element.type == kTypeInt32)
    return static_cast<std::int32_t>(read_u32(element.value.data()));
  if (element.type == kTypeInt64)
    return static_cast<std::int64_t>(read_u64(element.value.data()));
  if (element.type != kTypeDouble)
    return std::nullopt;
  const std::uint64_t bits = read_u64(element.value.data());
  double value = 0;
  std::memcpy(&value, &bits, sizeof value);
  if (!std::isfinite(value) || std::fabs(value) > kMaxExactDouble || std::floor(value) != value)
    return std::nullopt;
  return static_cast<std::int64_t>(value);
}

std::optional<bool> to_bool(const Element& element) {
  if (element.type == kTypeBoolean)
    return element.value[0] != '\0';
  if (const auto number = to_integer(element))
    return *number != 0;
  return std::nullopt;
}

std::string& Writer::begin_element(char type, std::string_view name) {
  elements_.push_back(type);
  elements_.append(name).push_back('\0');
  return elements_;
}

Writer& Writer::append_string(std::string_view name, std::string_view value) {
  begin_element(kTypeString, name) += encode_u32(static_cast<std::uint32_t>(value.size() + 1));
  elements_.append(value).push_back('\0');
  return *this;
}

Writer& Writer::append_document(std::string_view name, const std::string& value, char type) {
  begin_element(type, name) += value;
  return *this;
}

Writer& Writer::append_bool(std::string_view name, bool value) {
  begin_element(kTypeBoolean, name) += value ? '\1' : '\0';
  return *this;
}

Writer& Writer::append_int32(std::string_view name, std::int32_t value) {
  begin_element(kTypeInt32, name) += encode_u32(static_cast<std::uint32_t>(value));
  return *this;
}

Writer& Writer::append_double(std::string_view name, double value) {
  std::int64_t bits = 0;
  std::memcpy(&bits, &value, sizeof bits);
  return append_int64(name, bits, kTypeDouble);
}

Writer& Writer::append_int64(std::string_view name, std::int64_t value, char type) {
  begin_element(type, name) += wire::encode_u64_little_endian(static_cast<std::uint64_t>(value));
  return *this;
}

std::string Writer::finish() const {
  const std::size_t size = elements_.size() + kMinDocumentSize;
  return encode_u32(static_cast<std::uint32_t>(size)) + elements_ + '\0';
}

}  // namespace gorsebeam::mongo
