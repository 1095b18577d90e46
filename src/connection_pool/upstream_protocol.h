/// The protocol of one connection to an endpoint: its handshake, the framing of requests, and what
/// a response says.
#pragma once

#include "proxy/interfaces.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace gorsebeam::connection_pool {

/// What was sent, to which a response is awaited.
enum class RequestKind { ClientRequest, HealthCheck };

/// Whether more bytes can arrive on a connection.
enum class InputState { Open, Ended };

/// How far an endpoint's response to the handshake was read.
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

/// How far a response was read.
struct ParsedResponse {
  enum class Status {
    Incomplete,  ///< Call again with more bytes.
    Complete,
    Malformed,  ///< The bytes do not follow the protocol.
  };

  Status status = Status::Incomplete;
  std::size_t consumed_bytes = 0;    ///< With `Complete`: the size of the response.
  proxy::UpstreamResponse response;  ///< With `Complete`; borrows from the parsed bytes.
};

/// Translates between the pool and a wire protocol; performs no I/O. A connection owns one and
/// calls it on one thread.
class UpstreamProtocol {
public:
  virtual ~UpstreamProtocol() = default;

  /// The first bytes on a new connection; empty if it is ready as soon as it is connected.
  virtual std::string handshake_message() = 0;

  /// Reads the endpoint's response to the handshake from its first byte on.
  virtual HandshakeResult parse_handshake(std::string_view in) = 0;

  /// Frames a request body; the parts are valid until the next call of this object.
  virtual proxy::ByteSpans frame_request(const proxy::ByteSpans& body) = 0;

  /// The message of a health check; valid until the next call of this object.
  virtual proxy::ByteSpans health_check_message() = 0;

  /// Reads the response to a request of `kind` from its first byte on.
  virtual ParsedResponse parse_response(std::string_view in, RequestKind kind,
                                        InputState input) = 0;
};

/// Makes the protocol of a new connection.
using UpstreamProtocolFactory = std::unique_ptr<UpstreamProtocol> (*)();

}  // namespace gorsebeam::connection_pool
