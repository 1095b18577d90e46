/// The headers and trailers of a gRPC response, as far as the session needs them. Pure. Source:
/// "gRPC over HTTP2", "Responses".
#pragma once

#include "session_error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::grpc {

/// Bytes of a header value that are stored, as it may be logged.
constexpr std::size_t kMaxHeaderValueBytes = 300;

class ResponseHeaders {
public:
  /// Stores the header if it is one of those below; the others are ignored.
  void add(std::string_view name, std::string_view value);

  /// Returns why the response is not the response of a gRPC server, or nothing if it is. Call it
  /// after each block of headers or trailers.
  [[nodiscard]] std::optional<SessionError> validate() const;

  /// Returns why the call has ended: the status of the trailers, or `http2_error` without one.
  [[nodiscard]] SessionError call_ended_error(const std::string& http2_error) const;

private:
  std::string http_status_;
  std::string content_type_;
  std::string grpc_status_;
  std::string grpc_message_;
};

}  // namespace gorsebeam::grpc
