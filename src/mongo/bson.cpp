#include "bson.h"

#include <cmath>
#include <cstring>

namespace gorsebeam::mongo {
namespace {

using OptionalBytes = std::optional<std::string_view>;

constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kObjectIdSize = 12;
constexpr std::size_t kDecimal128Size = 16;
constexpr std::size_t kSubtypeSize = 1;
constexpr double kMaxExactDouble = 9e15;  // below 2^53, up to which a double holds every integer

/// Removes `size` bytes from the front of `rest` and returns them, or nothing if `rest` is shorter.
OptionalBytes read_bytes(std::string_view& rest, std::size_t size) {
  if (size > rest.size())
    return std::nullopt;
  const std::string_view bytes = rest.substr(0, size);
  rest.remove_prefix(size);
  return bytes;
}

/// Removes a zero-terminated text from the front of `rest` and returns it without the zero byte.
/// Returns nothing if `rest` has no zero byte.
OptionalBytes read_cstring(std::string_view& rest) {
  const std::size_t end = rest.find('\0');
  if (end == std::string_view::npos)
    return std::nullopt;
  const std::string_view text = rest.substr(0, end);
  rest.remove_prefix(end + 1);
  return text;
}

/// Returns the length field at the front of `rest`, or nothing if it exceeds the size of `rest`.
std::optional<std::size_t> peek_length(std::string_view rest) {
  if (rest.size() < kLengthSize)
    return std::nullopt;
  const std::size_t length = read_u32(rest.data());
  if (length > rest.size())
    return std::nullopt;
  return length;
}

/// Removes a value from the front of `rest`. Its length field counts neither itself nor
/// `uncounted_size` other bytes of the value.
OptionalBytes read_length_prefixed(std::string_view& rest, std::size_t uncounted_size) {
  const std::optional<std::size_t> length = peek_length(rest);
  return length ? read_bytes(rest, kLengthSize + *length + uncounted_size) : std::nullopt;
}

/// Removes a document from the front of `rest`. Its length field counts the whole document.
OptionalBytes read_document(std::string_view& rest) {
  const std::optional<std::size_t> length = peek_length(rest);
  if (!length || *length < kMinDocumentSize)
    return std::nullopt;
  return read_bytes(rest, *length);
}

/// Removes a string from the front of `rest` and returns its text. The length field counts the text
/// and the zero byte at its end.
OptionalBytes read_string(std::string_view& rest) {
  const OptionalBytes bytes = read_length_prefixed(rest, 0);
  if (!bytes || bytes->size() < kLengthSize + 1 || bytes->back() != '\0')
    return std::nullopt;
  return bytes->substr(kLengthSize, bytes->size() - kLengthSize - 1);
}

/// Removes a regular expression from the front of `rest` and returns its pattern without its
/// options.
OptionalBytes read_regex(std::string_view& rest) {
  const OptionalBytes pattern = read_cstring(rest);
  if (!pattern || !read_cstring(rest))
    return std::nullopt;
  return pattern;
}

/// Removes a value of `type` from the front of `rest` and returns it, or nothing if it is malformed
/// or the type is unknown.
OptionalBytes read_value(std::string_view& rest, ElementType type) {
  switch (type) {
  case ElementType::Double:
  case ElementType::Date:
  case ElementType::Timestamp:
  case ElementType::Int64:
    return read_bytes(rest, sizeof(std::uint64_t));
  case ElementType::Int32:
    return read_bytes(rest, sizeof(std::uint32_t));
  case ElementType::Boolean:
    return read_bytes(rest, 1);
  case ElementType::ObjectId:
    return read_bytes(rest, kObjectIdSize);
  case ElementType::Decimal128:
    return read_bytes(rest, kDecimal128Size);
  case ElementType::String:
  case ElementType::JavaScript:
  case ElementType::Symbol:
    return read_string(rest);
  case ElementType::Document:
  case ElementType::Array:
  case ElementType::JavaScriptWithScope:
    return read_document(rest);
  case ElementType::Binary:
    return read_length_prefixed(rest, kSubtypeSize);
  case ElementType::DbPointer:
    return read_length_prefixed(rest, kObjectIdSize);
  case ElementType::Regex:
    return read_regex(rest);
  case ElementType::Undefined:
  case ElementType::Null:
  case ElementType::MaxKey:
  case ElementType::MinKey:
    return std::string_view();
  }
  return std::nullopt;
}

bool is_nested_document(const Element& element) {
  return element.type == ElementType::Document || element.type == ElementType::Array;
}

std::string encode_u64(std::uint64_t value) {
  return wire::encode_u64_little_endian(value);
}

}  // namespace

Reader::Reader(std::string_view document) {
  is_malformed_ = document.size() < kMinDocumentSize ||
                  read_u32(document.data()) != document.size() || document.back() != '\0';
  if (!is_malformed_)
    rest_ = document.substr(kLengthSize, document.size() - kMinDocumentSize);
}

std::optional<Element> Reader::next() {
  if (is_malformed_ || rest_.empty())
    return std::nullopt;
  const std::string_view begin = rest_;
  const auto type = static_cast<ElementType>(rest_.front());
  rest_.remove_prefix(1);
  const OptionalBytes name = read_cstring(rest_);
  const OptionalBytes value = name ? read_value(rest_, type) : std::nullopt;
  if (!value) {
    is_malformed_ = true;
    return std::nullopt;
  }
  return Element{type, *name, *value, begin.substr(0, begin.size() - rest_.size())};
}

bool is_well_formed(std::string_view document, int max_depth) {
  Reader reader(document);
  while (const std::optional<Element> element = reader.next()) {
    if (!is_nested_document(*element))
      continue;
    if (max_depth == 0 || !is_well_formed(element->value, max_depth - 1))
      return false;
  }
  return !reader.is_malformed();
}

std::optional<Element> find(std::string_view document, std::string_view name) {
  Reader reader(document);
  while (std::optional<Element> element = reader.next())
    if (element->name == name)
      return element;
  return std::nullopt;
}

std::optional<std::int64_t> to_integer(const Element& element) {
  if (element.type == ElementType::Int32)
    return static_cast<std::int32_t>(read_u32(element.value.data()));
  if (element.type == ElementType::Int64)
    return static_cast<std::int64_t>(read_u64(element.value.data()));
  if (element.type != ElementType::Double)
    return std::nullopt;
  const std::uint64_t bits = read_u64(element.value.data());
  double value = 0;
  std::memcpy(&value, &bits, sizeof value);
  if (!std::isfinite(value) || std::fabs(value) > kMaxExactDouble || std::floor(value) != value)
    return std::nullopt;
  return static_cast<std::int64_t>(value);
}

std::optional<bool> to_bool(const Element& element) {
  if (element.type == ElementType::Boolean)
    return element.value[0] != '\0';
  if (const auto number = to_integer(element))
    return *number != 0;
  return std::nullopt;
}

std::string to_text(const Element& element) {
  if (element.type == ElementType::String)
    return std::string(element.value);
  const std::optional<std::int64_t> number = to_integer(element);
  return number ? std::to_string(*number) : "";
}

std::optional<std::int64_t> to_date(const Element& element) {
  if (element.type != ElementType::Date)
    return std::nullopt;
  return static_cast<std::int64_t>(read_u64(element.value.data()));
}

std::optional<std::int64_t> to_timestamp_seconds(const Element& element) {
  if (element.type != ElementType::Timestamp)
    return std::nullopt;
  return static_cast<std::int64_t>(read_u64(element.value.data()) >> 32);
}

Writer& Writer::append(ElementType type, std::string_view name, std::string_view value) {
  elements_.push_back(static_cast<char>(type));
  elements_.append(name).push_back('\0');
  elements_.append(value);
  return *this;
}

Writer& Writer::append_string(std::string_view name, std::string_view value) {
  const std::size_t length = value.size() + 1;
  append(ElementType::String, name, encode_u32(static_cast<std::uint32_t>(length)));
  elements_.append(value).push_back('\0');
  return *this;
}

Writer& Writer::append_document(std::string_view name, std::string_view document) {
  return append(ElementType::Document, name, document);
}

Writer& Writer::append_array(std::string_view name, std::string_view array) {
  return append(ElementType::Array, name, array);
}

Writer& Writer::append_bool(std::string_view name, bool value) {
  return append(ElementType::Boolean, name, std::string(1, value ? '\1' : '\0'));
}

Writer& Writer::append_int32(std::string_view name, std::int32_t value) {
  return append(ElementType::Int32, name, encode_u32(static_cast<std::uint32_t>(value)));
}

Writer& Writer::append_int64(std::string_view name, std::int64_t value) {
  return append(ElementType::Int64, name, encode_u64(static_cast<std::uint64_t>(value)));
}

Writer& Writer::append_double(std::string_view name, double value) {
  std::uint64_t bits = 0;
  std::memcpy(&bits, &value, sizeof bits);
  return append(ElementType::Double, name, encode_u64(bits));
}

Writer& Writer::append_date(std::string_view name, std::int64_t unix_ms) {
  return append(ElementType::Date, name, encode_u64(static_cast<std::uint64_t>(unix_ms)));
}

Writer& Writer::append_timestamp(std::string_view name, std::uint32_t unix_seconds,
                                 std::uint32_t counter) {
  return append(ElementType::Timestamp, name, encode_u32(counter) + encode_u32(unix_seconds));
}

std::string Writer::finish() const {
  const std::size_t size = elements_.size() + kMinDocumentSize;
  return encode_u32(static_cast<std::uint32_t>(size)) + elements_ + '\0';
}

}  // namespace gorsebeam::mongo
