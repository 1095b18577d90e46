// BSON, read in place and written: as much of it as the gateway needs. Every read is checked
// against the bytes there are; nesting is not followed unless asked for.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::mongo {

std::uint32_t read_u32(const char* at);
std::uint64_t read_u64(const char* at);
std::string u32(std::uint32_t value);

struct Element {
  char type = 0;
  std::string_view name;
  std::string_view value;  // of a string: its text; of a document: with its length
  std::string_view whole;  // as it stands in its document
};

// Walks the elements of one document.
class Reader {
public:
  // `document` must be one whole document: its length, elements and a zero byte. Else malformed.
  explicit Reader(std::string_view document);
  bool next(Element& element);  // false: at the end, or malformed

  bool malformed() const { return malformed_; }

private:
  bool take(std::size_t size, std::string_view& out);
  bool text(std::string_view& out);  // up to a zero byte
  std::string_view rest_;
  bool malformed_ = false;
};

bool well_formed(std::string_view document, int depth = 32);  // all of it, nested documents too
std::optional<Element> find(std::string_view document, std::string_view name);
std::optional<std::int64_t> integer(const Element& element);  // int32, int64, a whole double
std::optional<bool> truth(const Element& element);            // a boolean, or a number

// Appends elements; `take` gives the document.
class Writer {
public:
  Writer& text(std::string_view name, std::string_view value) {
    begin('\x02', name) += u32(static_cast<std::uint32_t>(value.size() + 1));
    out_.append(value).push_back('\0');
    return *this;
  }

  Writer& document(std::string_view name, const std::string& value, char type = '\x03') {
    begin(type, name) += value;
    return *this;
  }

  Writer& truth(std::string_view name, bool value) {
    begin('\x08', name) += value ? '\1' : '\0';
    return *this;
  }

  Writer& small(std::string_view name, std::int32_t value) {
    begin('\x10', name) += u32(static_cast<std::uint32_t>(value));
    return *this;
  }

  Writer& real(std::string_view name, double value);
  Writer& large(std::string_view name, std::int64_t value,
                char type = '\x12');  // or a date, a timestamp

  const std::string& elements() const { return out_; }

  std::string take() const {
    return u32(static_cast<std::uint32_t>(out_.size() + 5)) + out_ + '\0';
  }

private:
  std::string& begin(char type, std::string_view name) {
    out_.push_back(type);
    out_.append(name).push_back('\0');
    return out_;
  }

  std::string out_;
};

}  // namespace gorsebeam::mongo
