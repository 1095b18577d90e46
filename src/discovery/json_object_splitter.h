/// Splits a stream of bytes into JSON objects, independently of where its lines and reads end.
///
/// The module is pure and runs on one thread. Between two objects it accepts only spaces and line
/// ends. Within an object it accepts no blank line: a blank line is discovery's heartbeat, and one
/// inside an object means that the rest of the object was lost.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gorsebeam::discovery {

/// Holds at most the bytes of one object, up to `kMaxObjectSize`, and what was added last. Scans
/// each byte once.
class JsonObjectSplitter {
public:
  /// Bytes of one object, white space included.
  static constexpr std::size_t kMaxObjectSize = 8 << 20;

  enum class Status {
    NeedsInput,  ///< No complete object is left; add bytes.
    Object,      ///< A complete object was found.
    Malformed,   ///< The stream is broken or an object too long; nothing more is read.
  };

  struct Output {
    Status status = Status::NeedsInput;
    /// With `Object`: its text, balanced but not otherwise checked; valid until the next call.
    std::string_view object;
  };

  void add(std::string_view bytes) { text_.append(bytes); }

  /// Returns the next object of what was added.
  [[nodiscard]] Output next();

  /// Discards all bytes and starts a new stream.
  void clear();

private:
  enum class Scan { Continue, ObjectEnd, Malformed };

  [[nodiscard]] Scan scan(char c);
  [[nodiscard]] Scan scan_quoted(char c);
  [[nodiscard]] Scan scan_line_end();

  std::string text_;
  std::size_t begin_ = 0;     // of the object
  std::size_t position_ = 0;  // bytes of text_ that were scanned
  std::size_t depth_ = 0;     // of open braces and brackets; 0: between two objects
  bool in_string_ = false;
  bool escaped_ = false;     // by a backslash in a string
  bool blank_line_ = false;  // the line has held only white space so far
};

}  // namespace gorsebeam::discovery
