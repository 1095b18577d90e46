/// BSON documents, read in place and written, as far as the gateway needs them. Each read is
/// checked against the bytes that there are. Pure. Source: BSON specification, version 1.1
/// (bsonspec.org).
#pragma once

#include "wire/integers.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::mongo {

/// Types of elements.
constexpr char kTypeDouble = '\x01';
constexpr char kTypeString = '\x02';
constexpr char kTypeDocument = '\x03';
constexpr char kTypeArray = '\x04';
constexpr char kTypeBinary = '\x05';
constexpr char kTypeUndefined = '\x06';
constexpr char kTypeObjectId = '\x07';
constexpr char kTypeBoolean = '\x08';
constexpr char kTypeDate = '\x09';
constexpr char kTypeNull = '\x0A';
constexpr char kTypeRegex = '\x0B';
constexpr char kTypeDbPointer = '\x0C';
constexpr char kTypeJavaScript = '\x0D';
constexpr char kTypeSymbol = '\x0E';
constexpr char kTypeJavaScriptWithScope = '\x0F';
constexpr char kTypeInt32 = '\x10';
constexpr char kTypeTimestamp = '\x11';
constexpr char kTypeInt64 = '\x12';
constexpr char kTypeDecimal128 = '\x13';
constexpr char kTypeMaxKey = '\x7F';
constexpr char kTypeMinKey = '\xFF';

/// The smallest document: its length and the zero byte at its end.
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

/// The views lead into the document that the element was read from.
struct Element {
  char type = 0;
  std::string_view name;
  std::string_view value;     ///< Of a string: its text; of a document: with its length.
  std::string_view complete;  ///< As it stands in its document.
};

/// Walks the elements of one document; nested documents are not entered.
class Reader {
public:
  /// `document` is to be one complete document: its length, elements and a zero byte; anything else
  /// is malformed.
  explicit Reader(std::string_view document);

  /// Returns false at the end, and where the document is malformed.
  bool next(Element& element);

  [[nodiscard]] bool is_malformed() const { return malformed_; }

private:
  enum class LengthCounts { ContentOnly, ItselfToo };

  bool read_value(Element& element);
  bool read_bytes(std::size_t size, std::string_view& out);
  bool read_text(std::string_view& out);  ///< Up to a zero byte, which is skipped.
  bool read_string(std::string_view& out);
  bool read_regex(std::string_view& out);

  /// Reads a length, as many bytes as it says and `extra` more.
  bool read_sized(LengthCounts counts, std::size_t extra, std::string_view& out);

  std::string_view rest_;
  bool malformed_ = false;
};

/// Whether all of a document can be read, nested documents up to `depth` levels included.
bool is_well_formed(std::string_view document, int depth = 32);

std::optional<Element> find(std::string_view document, std::string_view name);

/// The value of an int32, an int64 or a double without a fraction.
std::optional<std::int64_t> to_integer(const Element& element);

/// The value of a boolean, or whether a number is not zero.
std::optional<bool> to_bool(const Element& element);

/// Appends elements; `finish` returns them as a document.
class Writer {
public:
  Writer& append_string(std::string_view name, std::string_view value);
  Writer& append_document(std::string_view name, const std::string& value,
                          char type = kTypeDocument);
  Writer& append_bool(std::string_view name, bool value);
  Writer& append_int32(std::string_view name, std::int32_t value);
  Writer& append_double(std::string_view name, double value);

  /// An int64, or a date or a timestamp by its `type`.
  Writer& append_int64(std::string_view name, std::int64_t value, char type = kTypeInt64);

  /// Without the length and the zero byte of a document.
  [[nodiscard]] const std::string& elements() const { return elements_; }

  [[nodiscard]] std::string finish() const;

private:
  /// Appends the type and the name; the value is to be appended to the returned string.
  std::string& begin_element(char type, std::string_view name);

  std::string elements_;
};

}  // namespace gorsebeam::mongo
