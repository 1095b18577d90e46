/// Parses the HTTP/1.1 response to a watch request: its head, and its body, which is either chunked
/// or extends to the end of the connection (RFC 9112, sections 4, 6 and 7).
///
/// The module is pure and runs on one thread. It accepts only status 200, ignores all header fields
/// but Transfer-Encoding, and supports no trailers.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::discovery {

/// Why a response cannot be parsed.
struct HttpResponseError {
  enum class Kind {
    HeadTooLong,
    UnexpectedStatus,
    MalformedChunk,  ///< The chunk has no valid size, or its size is over the maximum.
  };

  Kind kind = Kind::MalformedChunk;
  std::string status_line;  ///< Set for UnexpectedStatus; shortened for the log.
};

/// The text of the error for the operators' log, such as "a malformed chunk".
[[nodiscard]] std::string to_string(const HttpResponseError& error);

/// Parses one response. The parser stores no input: bytes that it does not consume must be passed
/// again, followed by those that arrived since.
class HttpResponseParser {
public:
  /// The maximum size of the response head, in bytes.
  static constexpr std::size_t kMaxHeadSize = 16 * 1024;

  enum class Status {
    NeedsInput,  ///< Nothing can be parsed until more bytes arrive.
    Progress,    ///< Parsed the head or a part of the body; more may follow in the same input.
    Ended,       ///< The last chunk was parsed.
    Failed,
  };

  struct Output {
    Status status = Status::NeedsInput;
    std::size_t consumed_bytes = 0;  ///< Number of bytes parsed at the beginning of the input.
    std::string_view body;           ///< A part of the body; it points into the input.
    std::optional<HttpResponseError> error;  ///< Set if the status is Failed.
  };

  /// `max_chunk_size` is the maximum size of an accepted chunk, in bytes.
  explicit HttpResponseParser(std::size_t max_chunk_size) : max_chunk_size_(max_chunk_size) {}

  /// Parses the next part of the response at the beginning of `input`.
  [[nodiscard]] Output parse(std::string_view input);

private:
  enum class State { Head, PlainBody, ChunkedBody };

  [[nodiscard]] Output parse_head(std::string_view input);
  [[nodiscard]] Output parse_chunk(std::string_view input) const;

  State state_ = State::Head;
  std::size_t max_chunk_size_;
};

}  // namespace gorsebeam::discovery
