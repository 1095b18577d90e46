/// Keeps the connections to endpoints. A connection is opened when it is needed, used for one
/// request at a time, kept idle for the next one, and closed before the endpoint would close it.
///
/// The pool does not depend on a wire protocol; an `UpstreamProtocol` translates for each
/// connection. Runs on the event loop's thread.
#pragma once

#include "idle_lifetime_estimator.h"
#include "net/timer.h"
#include "pool_limits.h"
#include "pooled_connection.h"
#include "proxy/request_broker.h"
#include "upstream_protocol.h"

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace gorsebeam::connection_pool {

/// Owns its connections and borrows the broker, which must outlive it. Its destructor closes all
/// connections and does not report the end of their assignments.
class ConnectionPool : public proxy::Upstream, private PooledConnection::Owner {
public:
  ConnectionPool(proxy::RequestBroker& broker, UpstreamProtocolFactory make_protocol,
                 const PoolLimits& limits);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;
  ~ConnectionPool() override;

  void add_endpoint(EndpointId endpoint, const std::string& address) override;
  void remove_endpoint(EndpointId endpoint) override;
  void start_attempt(proxy::AttemptId attempt, EndpointId endpoint, proxy::ClientCall& call,
                     TimePoint deadline) override;
  /// The health check ends after `PoolLimits::connect_timeout` at the latest.
  void start_health_check(EndpointId endpoint) override;
  void read_pending() override;
  void cancel_attempt(proxy::AttemptId attempt) override;
  void detach_call(proxy::AttemptId attempt) override;

  [[nodiscard]] const PoolLimits& limits() const override { return limits_; }

  /// Applies `limits` from now on; closes no connection by itself.
  void set_limits(const PoolLimits& limits) { limits_ = limits; }

private:
  /// The connections to one endpoint.
  struct EndpointConnections {
    std::string address;                  ///< Empty if the endpoint was removed or never added.
    std::vector<PooledConnection*> idle;  ///< Ordered by when they became idle.
    std::size_t count = 0;                ///< All connections, idle or assigned.
  };

  [[nodiscard]] bool is_current_address(EndpointId endpoint,
                                        const std::string& address) const override;
  void record_reuse(Duration idle_time, ReuseOutcome outcome) override;
  void complete_assignment(EndpointId endpoint, const Assignment& assignment,
                           const proxy::UpstreamResponse& response) override;
  void add_idle(PooledConnection& connection) override;
  void discard(PooledConnection& connection) override;

  /// Gives the assignment to a connection, an idle one if possible. The assignment can end inside
  /// this function.
  void assign(EndpointId endpoint, const Assignment& assignment);
  /// Returns the usable connection that became idle last, and removes it from the idle ones. Closes
  /// those that are not usable any more. Returns null if none is left.
  PooledConnection* acquire_idle(EndpointConnections& endpoint);
  /// Opens a connection; returns null if that is not possible.
  PooledConnection* open_connection(EndpointId endpoint);
  /// Whether a connection to `endpoint` may be opened. Closes an idle connection to any endpoint if
  /// the limit of all connections requires that.
  [[nodiscard]] bool ensure_capacity(EndpointId endpoint);
  /// The connection that has been idle longest; null if none is idle.
  [[nodiscard]] PooledConnection* longest_idle() const;
  /// Erases the entry of a removed endpoint that has no connection left.
  void erase_if_unused(EndpointId endpoint);

  proxy::RequestBroker& broker_;
  UpstreamProtocolFactory make_protocol_;
  PoolLimits limits_;
  std::map<EndpointId, EndpointConnections> endpoints_;
  std::unordered_map<PooledConnection*, std::unique_ptr<PooledConnection>> connections_;
  std::unordered_map<proxy::AttemptId, PooledConnection*> attempts_;
  IdleLifetimeEstimator idle_lifetime_;
  /// Closed connections, which are destroyed once their callbacks have returned.
  std::list<std::unique_ptr<PooledConnection>> discarded_;
  net::Timer deletion_timer_;
};

}  // namespace gorsebeam::connection_pool
