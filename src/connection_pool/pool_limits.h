/// The limits of a connection pool.
#pragma once

#include "gorsebeam/time.h"

#include <cstddef>
#include <optional>

namespace gorsebeam::connection_pool {

struct PoolLimits {
  /// The time limit for opening a connection, and for a health check.
  Duration connect_timeout = 250ms;
  /// The time after which endpoints close an idle connection, above 0; empty if they close none.
  std::optional<Duration> idle_timeout = 30s;
  /// The limit for connections to all endpoints together, idle ones included.
  std::size_t max_connections = 400;
  /// The limit for connections to one endpoint, idle ones included.
  std::size_t max_connections_per_endpoint = 150;
  /// The limit for the size of one response, framing included. A longer response fails its attempt.
  std::size_t max_response_bytes = 256 * 1024;
  /// The size of the buffers of all connections of the process, those of clients included, above
  /// which only small responses are read.
  std::size_t max_buffered_bytes = 32 << 20;
};

/// The idle time after which the pool closes a connection; empty if endpoints close none. It is
/// well below the endpoints' idle timeout, because a request that crosses the endpoint's close on
/// the wire ends as a reset.
[[nodiscard]] std::optional<Duration> idle_time_limit(const PoolLimits& limits);

}  // namespace gorsebeam::connection_pool
