/// The data path of one protocol: its frontend, its request broker and the connections to its
/// endpoints.
#pragma once

#include "resource_shares.h"

#include "config/operator_file.h"
#include "connection_pool/connection_pool.h"
#include "frontend/frontend.h"
#include "proxy/request_broker.h"
#include "settings/deployment_profile.h"

#include <cstdint>

namespace gorsebeam::gateway {

class ProtocolPath {
public:
  ProtocolPath(const settings::DeploymentProfile& profile, std::uint64_t seed,
               connection_pool::UpstreamProtocolFactory make_upstream_protocol,
               const ResourceShare& share, frontend::Frontend::ConnectionFactory make_connection);

  /// Applies the operators' limits. The numbers of connections and the size of the buffers stay
  /// within the path's share, whatever the limits are.
  void apply_limits(const config::pb::Limits& limits);

  /// Whether no client connection and no open request is left.
  [[nodiscard]] bool is_drained() const;

  proxy::RequestBroker& broker() { return broker_; }

  frontend::Frontend& frontend() { return frontend_; }

private:
  // In this order the frontend is destroyed before the pool, and both before the broker.
  proxy::RequestBroker broker_;
  connection_pool::ConnectionPool pool_;
  const ResourceShare share_;
  frontend::Frontend frontend_;
};

}  // namespace gorsebeam::gateway
