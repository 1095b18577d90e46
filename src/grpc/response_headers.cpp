#include "response_headers.h"

namespace gorsebeam::grpc {
namespace {

using Code = SessionError::Code;

constexpr std::string_view kContentTypePrefix = "application/grpc";

}  // namespace

void ResponseHeaders::add(std::string_view name, std::string_view value) {
  const std::string stored(value.substr(0, kMaxHeaderValueBytes));
  if (name == ":status")
    http_status_ = stored;
  if (name == "grpc-status")
    grpc_status_ = stored;
  if (name == "grpc-message")
    grpc_message_ = stored;
  if (name == "content-type")
    content_type_ = stored;
}

std::optional<SessionError> ResponseHeaders::validate() const {
  if (!http_status_.empty() && http_status_ != "200")
    return SessionError{Code::HttpStatus,
                        "the response has HTTP status " + http_status_ + " instead of 200"};
  if (content_type_.compare(0, kContentTypePrefix.size(), kContentTypePrefix) != 0)
    return SessionError{Code::NotGrpc, "the response has content type '" + content_type_ +
                                           "' instead of application/grpc"};
  return std::nullopt;
}

SessionError ResponseHeaders::call_ended_error(const std::string& http2_error) const {
  if (grpc_status_.empty())
    return {Code::CallEnded,
            "the peer ended the call without a gRPC status; HTTP/2 error code " + http2_error};
  std::string message = "the peer ended the call with gRPC status " + grpc_status_;
  if (!grpc_message_.empty())
    message += ": " + grpc_message_;
  return {Code::CallEnded, message};
}

}  // namespace gorsebeam::grpc
