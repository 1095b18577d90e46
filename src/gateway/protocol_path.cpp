#include "protocol_path.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::gateway {
namespace {

/// The smaller of `share` and `limit`; a limit of 0 means that none is set.
std::size_t limit_within(std::size_t share, std::size_t limit) {
  return limit == 0 ? share : std::min(share, limit);
}

}  // namespace

ProtocolPath::ProtocolPath(const settings::DeploymentProfile& profile, std::uint64_t seed,
                           connection_pool::UpstreamProtocolFactory make_upstream_protocol,
                           const ResourceShare& share,
                           frontend::Frontend::ConnectionFactory make_connection)
    : broker_(profile.settings, seed), pool_(broker_, make_upstream_protocol, share.pool),
      share_(share), frontend_(broker_, share.frontend, std::move(make_connection)) {
  broker_.attach(pool_);
}

void ProtocolPath::apply_limits(const config::pb::Limits& limits) {
  ResourceShare applied = share_;
  frontend::FrontendLimits& clients = applied.frontend;
  connection_pool::PoolLimits& endpoints = applied.pool;
  const std::size_t buffered_bytes = static_cast<std::size_t>(limits.buffered_mib()) << 20;
  clients.max_connections = limit_within(clients.max_connections, limits.client_connections());
  clients.max_buffered_bytes = limit_within(clients.max_buffered_bytes, buffered_bytes);
  if (limits.message_kib() != 0)
    clients.max_message_bytes = static_cast<std::size_t>(limits.message_kib()) << 10;
  endpoints.max_connections = limit_within(endpoints.max_connections, limits.member_connections());
  endpoints.max_connections_per_endpoint =
      std::min(endpoints.max_connections_per_endpoint,
               max_connections_per_endpoint(endpoints.max_connections));
  frontend_.set_limits(clients);
  pool_.set_limits(endpoints);
}

bool ProtocolPath::is_drained() const {
  return frontend_.is_drained() && broker_.open_requests() == 0;
}

}  // namespace gorsebeam::gateway
