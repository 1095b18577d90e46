/// Stores those headers and trailers of a gRPC response that the session needs. It does no I/O.
/// Source: "gRPC over HTTP2", "Responses".
#pragma once

#include "session_error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::grpc {

/// Largest stored size of a header value. Longer values are truncated, as a value may be logged.
constexpr std::size_t kMaxHeaderValueBytes = 300;

class ResponseHeaders {
public:
  /// Stores the value of a header that the session needs (`:status`, `content-type`, `grpc-status`
  /// or `grpc-message`), and ignores any other header.
  void add(std::string_view name, std::string_view value);

  /// Returns why the response is not that of a gRPC server, or nothing if it is. Call it after each
  /// block of headers or trailers.
  [[nodiscard]] std::optional<SessionError> validate() const;

  /// Returns why the call has ended: the gRPC status in the trailers, or `http2_error` if there is
  /// no gRPC status.
  [[nodiscard]] SessionError call_ended_error(const std::string& http2_error) const;

private:
  std::string http_status_;
  std::string content_type_;
  std::string grpc_status_;
  std::string grpc_message_;
};

}  // namespace gorsebeam::grpc
