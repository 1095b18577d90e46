/// Splits a stream of bytes into JSON objects, which may span several lines and several reads.
///
/// The module is pure and runs on one thread. Between two objects it accepts only white space.
/// Within an object it accepts no blank line: discovery sends a blank line as its heartbeat, and a
/// heartbeat inside an object means that the rest of the object was lost.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gorsebeam::discovery {

/// Holds at most the bytes of one object, up to `kMaxObjectSize`, and the bytes of the last `add`.
/// Scans each byte once.
class JsonObjectSplitter {
public:
  /// The maximum size of one object, in bytes, including its white space.
  static constexpr std::size_t kMaxObjectSize = 8 << 20;

  enum class Status {
    NeedsInput,  ///< No complete object is left until more bytes are added.
    Object,      ///< A complete object was found.
    Malformed,  ///< The stream is not a sequence of objects, or an object is too long; nothing more
                ///< is parsed.
  };

  struct Output {
    Status status = Status::NeedsInput;
    /// The text of the object if the status is `Object`. Its brackets are balanced, but it is not
    /// validated further. Valid until the next call.
    std::string_view object;
  };

  void add(std::string_view bytes) { text_.append(bytes); }

  /// Returns the next complete object of the added bytes.
  [[nodiscard]] Output next();

  /// Discards all bytes and starts a new stream.
  void clear();

private:
  enum class ScanResult { Continue, ObjectEnd, Malformed };

  [[nodiscard]] ScanResult scan(char c);
  [[nodiscard]] ScanResult scan_quoted(char c);
  [[nodiscard]] ScanResult scan_line_end();

  std::string text_;
  std::size_t object_begin_ = 0;  // where the current object begins in text_
  std::size_t scanned_size_ = 0;  // number of bytes of text_ that were scanned
  std::size_t depth_ = 0;         // number of open braces and brackets; 0: between two objects
  bool is_in_string_ = false;
  bool is_escaped_ = false;     // whether a backslash escapes the next character of the string
  bool is_blank_line_ = false;  // whether the line has had only white space so far
};

}  // namespace gorsebeam::discovery
