/// The protocol of one connection to an endpoint: how it is opened, how a request is framed, what a
/// response says.
#pragma once

#include "proxy/interfaces.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace gorsebeam::connection_pool {

/// How far a message was read.
enum class ParseStep {
  More,    ///< It is not complete; call again with more bytes.
  Done,    ///< It is complete.
  Broken,  ///< It does not follow the protocol.
};

/// Translates between the pool and a wire protocol; performs no I/O. A connection owns one and
/// calls it on one thread.
class UpstreamProtocol {
public:
  virtual ~UpstreamProtocol() = default;

  /// The first bytes on a new connection; empty if it is ready as soon as it is connected.
  virtual std::string handshake_message() = 0;

  /// Reads the endpoint's response to the handshake from its first byte on. With `Done`,
  /// `consumed_bytes` is its size and the connection is ready, or `is_rejected` is set: the
  /// endpoint rejected it.
  virtual ParseStep parse_handshake(std::string_view in, std::size_t& consumed_bytes,
                                    bool& is_rejected) = 0;

  /// Frames a request body; the parts are valid until the next call of this object.
  virtual proxy::Parts frame_request(const proxy::Parts& body) = 0;

  /// The message of a health check; valid until the next call of this object.
  virtual proxy::Parts health_check_message() = 0;

  /// Reads a response, to a health check if `is_health_check`, from its first byte on. `ended`: no
  /// more bytes will arrive. With `Done`, `consumed_bytes` is its size and `response` its meaning,
  /// which borrows from `in`. `Broken`: it is no response at all.
  virtual ParseStep parse_response(std::string_view in, bool ended, bool is_health_check,
                                   proxy::UpstreamResponse& response,
                                   std::size_t& consumed_bytes) = 0;
};

/// Makes the protocol of a new connection.
using UpstreamProtocolFactory = std::unique_ptr<UpstreamProtocol> (*)();

}  // namespace gorsebeam::connection_pool
