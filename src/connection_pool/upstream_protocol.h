/// Translates between the connection pool and a wire protocol: the handshake, the framing of
/// requests, and the parsing of responses.
#pragma once

#include "proxy/interfaces.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace gorsebeam::connection_pool {

/// The kind of message that a connection wrote last and whose response it awaits.
enum class RequestKind { ClientRequest, HealthCheck };

/// Whether more bytes can arrive on a connection.
enum class InputState { Open, Ended };

/// The result of parsing an endpoint's response to the handshake message.
struct HandshakeResult {
  enum class Status {
    Incomplete,  ///< Call again with more bytes.
    Complete,    ///< The connection is ready for requests.
    Rejected,    ///< The endpoint has no capacity for another connection.
    Failed,      ///< Another error of the endpoint, or bytes that do not follow the protocol.
  };

  Status status = Status::Incomplete;
  std::size_t consumed_bytes = 0;  ///< With `Complete`: the size of the response.
};

/// The result of parsing a response.
struct ParsedResponse {
  enum class Status {
    Incomplete,  ///< Call again with more bytes.
    /// A complete response arrived, but it may be another copy of the response to the connection's
    /// previous request. Write `confirmation_message` once, and call again with more bytes.
    Unconfirmed,
    Complete,
    Malformed,  ///< The bytes do not follow the protocol.
  };

  Status status = Status::Incomplete;
  /// With `Complete`: the size of all bytes that were parsed.
  std::size_t consumed_bytes = 0;
  proxy::UpstreamResponse response;  ///< With `Complete`; borrows from the parsed bytes.
  /// With `Complete`: the number of responses before this one that belong to no request.
  std::size_t surplus_responses = 0;

  /// A result without a response.
  static ParsedResponse with_status(Status status) {
    ParsedResponse parsed;
    parsed.status = status;
    return parsed;
  }
};

/// The protocol of one connection, which owns it. Performs no I/O; runs on one thread.
class UpstreamProtocol {
public:
  virtual ~UpstreamProtocol() = default;

  /// The first bytes on a new connection; empty if the protocol has no handshake.
  virtual std::string handshake_message() = 0;

  /// Parses the endpoint's response to the handshake message. `in` starts with its first byte.
  virtual HandshakeResult parse_handshake(std::string_view in) = 0;

  /// Frames a request body. The parts are valid until the next call of a function of this object.
  virtual proxy::ByteSpans frame_request(const proxy::ByteSpans& body) = 0;

  /// The message of a health check, valid until the next call of a function of this object.
  virtual proxy::ByteSpans health_check_message() = 0;

  /// A message that the endpoint answers without effect, in the order of its requests. What arrives
  /// before that answer is therefore complete. Called only after `ParsedResponse::Unconfirmed`.
  /// The parts are valid until the next call of a function of this object.
  virtual proxy::ByteSpans confirmation_message() = 0;

  /// Parses the response to the last request, which is of `kind`. `in` starts with the first byte
  /// that arrived after the request was written.
  virtual ParsedResponse parse_response(std::string_view in, RequestKind kind,
                                        InputState input) = 0;
};

/// Creates the protocol of a new connection.
using UpstreamProtocolFactory = std::unique_ptr<UpstreamProtocol> (*)();

}  // namespace gorsebeam::connection_pool
