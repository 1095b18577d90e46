#include "resource_shares.h"

#include "config/platform_config.h"
#include "sql_classifier/sql_classifier.h"

#include <algorithm>
#include <string>

#include <sys/resource.h>

namespace gorsebeam::gateway {
namespace {

constexpr std::size_t kMaxSockets = 1024;
constexpr std::size_t kMinSpareSockets = 24;
constexpr std::size_t kMinConnectionsPerEndpoint = 4;
constexpr std::size_t kParserMemoryDivisor = 8;  // the parser may use an eighth of the memory

std::size_t reduce_to_process_limit(std::size_t sockets) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return sockets;
  return std::min<std::size_t>(sockets, limit.rlim_cur);
}

}  // namespace

ResourceShare compute_share(std::size_t max_sockets, std::size_t memory_mib,
                            std::size_t protocol_count) {
  std::size_t sockets = reduce_to_process_limit(max_sockets);
  if (sockets < config::kMinSockets)
    throw settings::FormatError("the limit on open files is " + std::to_string(sockets) +
                                ": raise it to at least " + std::to_string(config::kMinSockets));
  sockets = std::min(sockets, kMaxSockets);
  const std::size_t spare = std::max(kMinSpareSockets, sockets / 10);
  const std::size_t share_sockets = (sockets - spare) / protocol_count;
  const std::size_t memory_bytes = memory_mib << 20;
  ResourceShare share;
  share.frontend.max_rejected_connections = std::max<std::size_t>(share_sockets / 20, 1);
  share.frontend.max_lingering_connections = std::max<std::size_t>(share_sockets / 20, 1);
  share.frontend.max_connections = share_sockets / 2 - share.frontend.max_rejected_connections -
                                   share.frontend.max_lingering_connections;
  share.pool.max_connections = share_sockets - share_sockets / 2;
  share.pool.max_connections_per_endpoint =
      max_connections_per_endpoint(share.pool.max_connections);
  // Buffers may use a quarter of the memory; half of that is kept free of incomplete messages, so
  // that responses always have space.
  share.frontend.max_buffered_bytes = memory_bytes / 8;
  share.pool.max_buffered_bytes = memory_bytes / 4;
  return share;
}

std::size_t max_statement_tokens(std::size_t memory_mib) {
  const std::size_t parser_bytes = (memory_mib << 20) / kParserMemoryDivisor;
  return std::min(sql_classifier::kMaxStatementTokens,
                  parser_bytes / sql_classifier::kMaxParseBytesPerToken);
}

std::size_t max_connections_per_endpoint(std::size_t pool_connections) {
  return std::max(kMinConnectionsPerEndpoint, pool_connections / 3);
}

}  // namespace gorsebeam::gateway
