/// The limits of a connection pool.
#pragma once

#include "gorsebeam/time.h"

#include <cstddef>
#include <optional>

namespace gorsebeam::connection_pool {

struct PoolLimits {
  /// Of opening a connection, and of a health check.
  Duration connect_timeout = 250ms;
  /// After this time endpoints close an idle connection; empty if they close none. Above 0.
  std::optional<Duration> idle_timeout = 30s;
  /// To all endpoints together, idle connections included.
  std::size_t max_connections = 400;
  /// To one endpoint, idle connections included.
  std::size_t max_connections_per_endpoint = 150;
  /// Of one response, framing included. A longer one fails its attempt.
  std::size_t max_response_bytes = 256 * 1024;
  /// In the buffers of all connections of the process, those of clients included. Beyond it only
  /// small responses are read.
  std::size_t max_buffered_bytes = 32 << 20;
};

/// The idle time after which the pool closes a connection: well before the endpoint does, as a
/// request that crosses the endpoint's close on the wire ends as a reset. Empty if endpoints close
/// none.
[[nodiscard]] std::optional<Duration> idle_time_limit(const PoolLimits& limits);

}  // namespace gorsebeam::connection_pool
