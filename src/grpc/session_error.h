/// The reasons why a gRPC session ends.
#pragma once

#include <string>

namespace gorsebeam::grpc {

struct SessionError {
  enum class Code {
    HeadersTooLarge,
    TooManyControlFrames,
    GoAway,
    /// The response has an HTTP status other than 200.
    HttpStatus,
    NotGrpc,
    CallEnded,
    /// The peer does not read what is sent to it.
    SendBufferFull,
    MalformedMessage,
    /// The peer violated HTTP/2.
    ProtocolViolation,
  };

  Code code = Code::ProtocolViolation;
  /// A clause for the log that describes the error.
  std::string message;
};

}  // namespace gorsebeam::grpc
