/// Reads BSON documents in place and writes new ones, as far as the gateway needs them. Each read
/// is checked against the end of the document. Pure. Source: BSON specification, version 1.1
/// (bsonspec.org).
#pragma once

#include "wire/integers.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::mongo {

/// The type byte of an element. A received byte need not be one of these values.
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

/// One element of a document. The views borrow from the document.
struct Element {
  ElementType type = ElementType::Null;
  std::string_view name;
  std::string_view value;    ///< Of a string: its text. Of a document: with its length field.
  std::string_view encoded;  ///< The whole element: type, name and value.
};

/// Iterates over the elements of one document without entering nested documents.
class Reader {
public:
  /// `document` is one whole document: its length field, its elements and a zero byte. Anything
  /// else is malformed and has no elements.
  explicit Reader(std::string_view document);

  /// The next element; nothing at the end of the document and if the next element is malformed.
  std::optional<Element> next();

  /// Whether the document, as far as it was read, is malformed.
  [[nodiscard]] bool is_malformed() const { return is_malformed_; }

private:
  std::string_view rest_;
  bool is_malformed_ = false;
};

/// The largest number of nested levels that `is_well_formed` accepts.
constexpr int kMaxNestingDepth = 32;

/// Whether every element of a document and of its nested documents and arrays can be read.
/// `max_depth` is the number of nested levels that are permitted.
bool is_well_formed(std::string_view document, int max_depth = kMaxNestingDepth);

/// The first element called `name`; nothing if there is none before the document's end or fault.
std::optional<Element> find(std::string_view document, std::string_view name);

/// The value of an int32, an int64, or a double without a fraction.
std::optional<std::int64_t> to_integer(const Element& element);

/// The value of a boolean, or whether a number is not zero.
std::optional<bool> to_bool(const Element& element);

/// The text of a string, or the decimal digits of a number without a fraction; empty for any other
/// element.
std::string to_text(const Element& element);

/// The value of a date, in milliseconds of Unix time.
std::optional<std::int64_t> to_date(const Element& element);

/// The seconds of a timestamp, which are Unix time. Its other half is a counter within the second.
std::optional<std::int64_t> to_timestamp_seconds(const Element& element);

/// Builds a document from the elements that are appended to it.
class Writer {
public:
  Writer& append_string(std::string_view name, std::string_view value);
  Writer& append_document(std::string_view name, std::string_view document);

  /// `array` is a document whose elements are named "0", "1" and so on.
  Writer& append_array(std::string_view name, std::string_view array);
  Writer& append_bool(std::string_view name, bool value);
  Writer& append_int32(std::string_view name, std::int32_t value);
  Writer& append_int64(std::string_view name, std::int64_t value);
  Writer& append_double(std::string_view name, double value);
  Writer& append_date(std::string_view name, std::int64_t unix_ms);

  /// `counter` orders the operations within one second.
  Writer& append_timestamp(std::string_view name, std::uint32_t unix_seconds,
                           std::uint32_t counter);

  /// The elements appended so far, without the length field and the zero byte of a document.
  [[nodiscard]] const std::string& elements() const { return elements_; }

  /// The document with all elements appended so far.
  [[nodiscard]] std::string finish() const;

private:
  Writer& append(ElementType type, std::string_view name, std::string_view value);

  std::string elements_;
};

}  // namespace gorsebeam::mongo
