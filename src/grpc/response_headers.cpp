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
    return SessionError{Code::HttpStatus, "it answers with HTTP status " + http_status_};
  if (content_type_.compare(0, kContentTypePrefix.size(), kContentTypePrefix) != 0)
    return SessionError{Code::NotGrpc, "its answer is not gRPC"};
  return std::nullopt;
}

SessionError ResponseHeaders::call_ended_error(const std::string& http2_error) const {
  if (grpc_status_.empty())
    return {Code::CallEnded, "it ended the call, " + http2_error};
  std::string message = "it ended the call with status " + grpc_status_;
  if (!grpc_message_.empty())
    message += ": " + grpc_message_;
  return {Code::CallEnded, message};
}

}  // namespace gorsebeam::grpc
