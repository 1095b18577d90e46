#include "integers.h"

#include <glib.h>

#include <cstring>

namespace gorsebeam::wire {
namespace {

template <typename Integer>
Integer copy_from(const char* bytes) {
  Integer value = 0;
  std::memcpy(&value, bytes, sizeof value);
  return value;
}

template <typename Integer>
std::string bytes_of(Integer value) {
  return {reinterpret_cast<const char*>(&value), sizeof value};
}

}  // namespace

std::uint32_t read_u32_big_endian(const char* bytes) {
  return GUINT32_FROM_BE(copy_from<std::uint32_t>(bytes));
}

std::uint32_t read_u32_little_endian(const char* bytes) {
  return GUINT32_FROM_LE(copy_from<std::uint32_t>(bytes));
}

std::uint64_t read_u64_little_endian(const char* bytes) {
  return GUINT64_FROM_LE(copy_from<std::uint64_t>(bytes));
}

std::string encode_u32_big_endian(std::uint32_t value) {
  return bytes_of<std::uint32_t>(GUINT32_TO_BE(value));
}

std::string encode_u32_little_endian(std::uint32_t value) {
  return bytes_of<std::uint32_t>(GUINT32_TO_LE(value));
}

std::string encode_u64_little_endian(std::uint64_t value) {
  return bytes_of<std::uint64_t>(GUINT64_TO_LE(value));
}

}  // namespace gorsebeam::wire
