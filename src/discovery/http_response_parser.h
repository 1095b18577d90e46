/// Parses the response to a watch: the head of an HTTP/1.1 response and its body, chunked or up to
/// the end of the connection (RFC 9112, sections 4, 6 and 7).
///
/// The module is pure and runs on one thread. It accepts only status 200, reads no header field but
/// Transfer-Encoding, and no trailers.
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
    MalformedChunk,  ///< No size, or one beyond the bound.
  };

  Kind kind = Kind::MalformedChunk;
  std::string status_line;  ///< Of UnexpectedStatus, shortened for the log.
};

/// The reason for the operators' log, such as "a malformed chunk".
[[nodiscard]] std::string to_string(const HttpResponseError& error);

/// Parses one response. Holds no bytes: the caller passes what it has not consumed.
class HttpResponseParser {
public:
  /// Bytes of the head.
  static constexpr std::size_t kMaxHeadSize = 16 * 1024;

  enum class Status {
    NeedsInput,  ///< Nothing more can be parsed without further bytes.
    Progress,    ///< Parsed the head or a piece of the body; more may follow in the same input.
    Ended,       ///< The last chunk was parsed.
    Failed,
  };

  struct Output {
    Status status = Status::NeedsInput;
    std::size_t consumed_bytes = 0;          ///< At the beginning of the input.
    std::string_view body;                   ///< A piece of the body, within the consumed bytes.
    std::optional<HttpResponseError> error;  ///< Of Failed.
  };

  /// `max_chunk_size` bounds the chunks that are accepted, in bytes.
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
