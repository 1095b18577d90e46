#include "bson.h"

#include <glib.h>

#include <algorithm>
#include <cmath>
#include <cstring>

namespace gorsebeam::mongo {

std::uint32_t read_u32(const char* at) {
  std::uint32_t value;
  std::memcpy(&value, at, 4);
  return GUINT32_FROM_LE(value);
}

std::uint64_t read_u64(const char* at) {
  std::uint64_t value;
  std::memcpy(&value, at, 8);
  return GUINT64_FROM_LE(value);
}

std::string u32(std::uint32_t value) {
  value = GUINT32_TO_LE(value);
  return {reinterpret_cast<const char*>(&value), 4};
}

Reader::Reader(std::string_view document) {
  malformed_ = document.size() < 5 || read_u32(document.data()) != document.size() ||
               document.back() != '\0';
  if (!malformed_)
    rest_ = document.substr(4, document.size() - 5);
}

bool Reader::take(std::size_t size, std::string_view& out) {
  if (size > rest_.size())
    return false;
  out = rest_.substr(0, size);
  rest_.remove_prefix(size);
  return true;
}

bool Reader::text(std::string_view& out) {
  const std::size_t end = rest_.find('\0');
  if (end == std::string_view::npos)
    return false;
  out = rest_.substr(0, end);
  rest_.remove_prefix(end + 1);
  return true;
}

bool Reader::next(Element& element) {
  if (malformed_ || rest_.empty())
    return false;
  const std::string_view all = rest_;
  element = Element{};
  element.type = rest_.front();
  rest_.remove_prefix(1);
  bool good = text(element.name);
  const auto sized = [&](std::size_t beyond,
                         bool counts_itself) {  // a length, then so many bytes and `beyond`
    if (rest_.size() < 4)
      return false;
    const std::size_t length = read_u32(rest_.data());
    if (length > rest_.size() || (counts_itself && length < 5))
      return false;
    return take(counts_itself ? length : 4 + length + beyond, element.value);
  };
  std::string_view skipped;
  if (good)
    switch (static_cast<unsigned char>(element.type)) {
    case 0x01:
    case 0x09:
    case 0x11:
    case 0x12:
      good = take(8, element.value);
      break;
    case 0x02:
    case 0x0D:
    case 0x0E:  // a string: its length counts the zero byte
      good = sized(0, false) && element.value.size() >= 5 && element.value.back() == '\0';
      if (good)
        element.value = element.value.substr(4, element.value.size() - 5);
      break;
    case 0x03:
    case 0x04:
    case 0x0F:
      good = sized(0, true);
      break;
    case 0x05:
      good = sized(1, false);
      break;
    case 0x06:
    case 0x0A:
    case 0x7F:
    case 0xFF:
      break;
    case 0x07:
      good = take(12, element.value);
      break;
    case 0x08:
      good = take(1, element.value);
      break;
    case 0x0B:
      good = text(element.value) && text(skipped);
      break;
    case 0x0C:
      good = sized(12, false);
      break;
    case 0x10:
      good = take(4, element.value);
      break;
    case 0x13:
      good = take(16, element.value);
      break;
    default:
      good = false;
    }
  malformed_ = !good;
  element.whole = all.substr(0, all.size() - rest_.size());
  return good;
}

bool well_formed(std::string_view document, int depth) {
  Reader reader(document);
  Element element;
  while (reader.next(element))
    if ((element.type == '\x03' || element.type == '\x04') &&
        (depth == 0 || !well_formed(element.value, depth - 1)))
      return false;
  return !reader.malformed();
}

std::optional<Element> find(std::string_view document, std::string_view name) {
  Reader reader(document);
  Element element;
  while (reader.next(element))
    if (element.name == name)
      return element;
  return std::nullopt;
}

std::optional<std::int64_t> integer(const Element& element) {
  if (element.type == '\x10')
    return static_cast<std::int32_t>(read_u32(element.value.data()));
  if (element.type == '\x12')
    return static_cast<std::int64_t>(read_u64(element.value.data()));
  if (element.type != '\x01')
    return std::nullopt;
  const std::uint64_t bits = read_u64(element.value.data());
  double value;
  std::memcpy(&value, &bits, 8);
  if (!std::isfinite(value) || std::fabs(value) > 9e15 || std::floor(value) != value)
    return std::nullopt;
  return static_cast<std::int64_t>(value);
}

std::optional<bool> truth(const Element& element) {
  if (element.type == '\x08')
    return element.value[0] != '\0';
  if (const auto number = integer(element))
    return *number != 0;
  return std::nullopt;
}

Writer& Writer::real(std::string_view name, double value) {
  std::int64_t bits;
  std::memcpy(&bits, &value, 8);
  return large(name, bits, '\x01');
}

Writer& Writer::large(std::string_view name, std::int64_t value, char type) {
  const std::uint64_t little = GUINT64_TO_LE(static_cast<std::uint64_t>(value));
  begin(type, name).append(reinterpret_cast<const char*>(&little), 8);
  return *this;
}

}  // namespace gorsebeam::mongo
