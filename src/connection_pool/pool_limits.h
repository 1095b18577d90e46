/// The limits of a connection pool.
#pragma once

#include "gorsebeam/router.h"

#include <cstddef>

namespace gorsebeam::connection_pool {

struct PoolLimits {
  Duration connect_timeout = 250ms;   ///< Of opening a connection, and of a health check.
  Duration idle_timeout = 30s;        ///< An endpoint closes a connection idle for this long.
  std::size_t max_connections = 400;  ///< To all endpoints together.
  std::size_t max_connections_per_endpoint = 150;  ///< To one endpoint.
  std::size_t max_response_bytes = 256 * 1024;     ///< Of one response.
  std::size_t max_buffered_bytes =
      32 << 20;  ///< Bytes that all connections hold, also those of clients.
};

/// The idle time after which a connection is retired: well before the endpoint would close it, as a
/// request that crosses that close ends as a reset. The highest `Duration` if endpoints close none.
[[nodiscard]] Duration idle_time_limit(const PoolLimits& limits);

}  // namespace gorsebeam::connection_pool
