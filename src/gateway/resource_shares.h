/// Divides the process's descriptors and memory among the protocols that it serves.
#pragma once

#include "connection_pool/connection_pool.h"
#include "frontend/frontend.h"

#include <cstddef>

namespace gorsebeam::gateway {

/// The descriptors and the memory that one protocol may use.
struct ResourceShare {
  frontend::FrontendLimits frontend;
  connection_pool::PoolLimits pool;
};

/// The share of each of `protocol_count` protocols. `max_sockets` is reduced to the process's limit
/// on open files; throws settings::FormatError if that is too low. Spare descriptors are reserved
/// for the listeners, discovery, the control service and logs. Half of each share is for endpoints,
/// half for clients, including the client connections that are to be rejected or that linger.
ResourceShare compute_share(std::size_t max_sockets, std::size_t memory_mib,
                            std::size_t protocol_count);

/// How many tokens a SQL statement may have that is parsed, by the memory that this needs.
std::size_t max_statement_tokens(std::size_t memory_mib);

/// How many of a pool's connections may be to the same endpoint.
std::size_t max_connections_per_endpoint(std::size_t pool_connections);

}  // namespace gorsebeam::gateway
