/// Reads BSON documents without copying them, and writes the element types that the gateway sends.
/// No read goes beyond the end of the document. Does no I/O and reads no clock.
/// Source: BSON specification, version 1.1 (bsonspec.org).
#pragma once

#include "wire/integers.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::mongo {

/// The type byte of an element. A received byte can be a value that is not listed here.
enum class ElementType : unsigned char {
  Double = 0x01,
  String = 0x02,
  Document = 0x03,
  Array = 0x04,
  Binary = 0x05,
  Undefined = 0x06,
  ObjectId = 0x07,
  Boolean = 0x08,
  Date = 0x09,
  Null = 0x0A,
  Regex = 0x0B,
  DbPointer = 0x0C,
  JavaScript = 0x0D,
  Symbol = 0x0E,
  JavaScriptWithScope = 0x0F,
  Int32 = 0x10,
  Timestamp = 0x11,
  Int64 = 0x12,
  Decimal128 = 0x13,
  MaxKey = 0x7F,
  MinKey = 0xFF,
};

/// The size of an empty document: its length field and the zero byte at its end.
constexpr std::size_t kMinDocumentSize = 5;

inline std::uint32_t read_u32(const char* bytes) {
  return wire::read_u32_little_endian(bytes);
}

inline std::uint64_t read_u64(const char* bytes) {
  return wire::read_u64_little_endian(bytes);
}

inline std::string encode_u32(std::uint32_t value) {
  return wire::encode_u32_little_endian(value);
}

/// One element of a document. The views point into the document.
struct Element {
  ElementType type = ElementType::Null;
  std::string_view name;
  /// The encoded value. For a string it is the text alone, and for a regular expression the pattern
  /// alone; for a document or an array it includes the length field and the final zero byte.
  std::string_view value;
  std::string_view encoded;  ///< The bytes of the whole element: type, name and value.
};

/// Iterates over the elements of one document without entering nested documents.
class Reader {
public:
  /// `document` must be exactly one document: its length field, its elements and a zero byte. Any
  /// other bytes are malformed, and `next` returns nothing for them.
  explicit Reader(std::string_view document);

  /// Returns the next element, or nothing at the end of the document or if that element is
  /// malformed.
  std::optional<Element> next();

  /// Whether the part of the document that was read so far is malformed.
  [[nodiscard]] bool is_malformed() const { return is_malformed_; }

private:
  std::string_view rest_;
  bool is_malformed_ = false;
};

/// The default limit of `is_well_formed` for the nesting of documents and arrays.
constexpr int kMaxNestingDepth = 32;

/// Whether every element of a document and of its nested documents and arrays can be read. A
/// document whose nested documents and arrays have more than `max_depth` levels is not well formed.
bool is_well_formed(std::string_view document, int max_depth = kMaxNestingDepth);

/// Returns the first element named `name`, or nothing if there is none before the end of the
/// document or before a malformed element.
std::optional<Element> find(std::string_view document, std::string_view name);

/// Returns the value of an int32, an int64 or a double without a fraction, or nothing for any other
/// element.
std::optional<std::int64_t> to_integer(const Element& element);

/// Returns the value of a boolean, whether a number that `to_integer` accepts is not zero, or
/// nothing for any other element.
std::optional<bool> to_bool(const Element& element);

/// Returns the text of a string, the decimal digits of a number without a fraction, or an empty
/// text for any other element.
std::string to_text(const Element& element);

/// Returns the value of a date in milliseconds of Unix time, or nothing for any other element.
std::optional<std::int64_t> to_date(const Element& element);

/// Returns the Unix time of a timestamp in seconds, or nothing for any other element. The other
/// half of a timestamp, a counter within the second, is ignored.
std::optional<std::int64_t> to_timestamp_seconds(const Element& element);

/// Builds a document from the elements that are appended to it.
class Writer {
public:
  Writer& append_string(std::string_view name, std::string_view value);
  Writer& append_document(std::string_view name, std::string_view document);

  /// `array` must be a document whose elements are named "0", "1" and so on.
  Writer& append_array(std::string_view name, std::string_view array);
  Writer& append_bool(std::string_view name, bool value);
  Writer& append_int32(std::string_view name, std::int32_t value);
  Writer& append_int64(std::string_view name, std::int64_t value);
  Writer& append_double(std::string_view name, double value);
  Writer& append_date(std::string_view name, std::int64_t unix_ms);

  /// `counter` orders the operations within one second.
  Writer& append_timestamp(std::string_view name, std::uint32_t unix_seconds,
                           std::uint32_t counter);

  /// The elements appended so far, without the length field and the final zero byte of a document.
  [[nodiscard]] const std::string& elements() const { return elements_; }

  /// The document with all elements appended so far.
  [[nodiscard]] std::string finish() const;

private:
  Writer& append(ElementType type, std::string_view name, std::string_view value);

  std::string elements_;
};

}  // namespace gorsebeam::mongo
