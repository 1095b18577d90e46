#include "connection_pool.h"

#include "net/log.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace gorsebeam::connection_pool {

using proxy::AttemptId;

namespace {

/// Whether `duration` is below `limit`; true if `limit` is empty.
bool is_within(Duration duration, std::optional<Duration> limit) {
  return !limit || duration < *limit;
}

}  // namespace

ConnectionPool::ConnectionPool(proxy::RequestBroker& broker, UpstreamProtocolFactory make_protocol,
                               const PoolLimits& limits)
    : broker_(broker), make_protocol_(make_protocol), limits_(limits), deletion_timer_([this] {
        discarded_.clear();
      }) {}

ConnectionPool::~ConnectionPool() {
  for (auto& [connection, owned] : connections_)
    owned->close();
}

void ConnectionPool::add_endpoint(EndpointId endpoint, const std::string& address) {
  EndpointConnections& entry = endpoints_[endpoint];
  if (entry.address == address)
    return;
  entry.address = address;
  while (!entry.idle.empty())
    discard(*entry.idle.back());  // the connection leads to the old address
}

void ConnectionPool::remove_endpoint(EndpointId endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end())
    return;
  // No connection is opened while the address is empty; the entry is erased with its last
  // connection.
  found->second.address.clear();
  const std::vector<PooledConnection*> idle = found->second.idle;
  for (PooledConnection* connection : idle)
    discard(*connection);
  erase_if_unused(endpoint);
}

void ConnectionPool::erase_if_unused(EndpointId endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end() && found->second.count == 0 && found->second.address.empty())
    endpoints_.erase(found);
}

void ConnectionPool::start_attempt(AttemptId attempt, EndpointId endpoint, proxy::ClientCall& call,
                                   TimePoint deadline) {
  Assignment assignment;
  assignment.attempt = attempt;
  assignment.call = &call;
  assignment.deadline = deadline;
  assign(endpoint, assignment);
}

void ConnectionPool::start_health_check(EndpointId endpoint) {
  Assignment assignment;
  assignment.deadline = net::now() + limits_.connect_timeout;
  assign(endpoint, assignment);
}

void ConnectionPool::assign(EndpointId endpoint, const Assignment& assignment) {
  PooledConnection* connection = acquire_idle(endpoints_[endpoint]);
  if (connection == nullptr) {
    if (!ensure_capacity(endpoint)) {
      complete_assignment(endpoint, assignment, response_with(AttemptStatus::NotSent));
      return;
    }
    connection = open_connection(endpoint);
  }
  if (connection == nullptr) {
    complete_assignment(endpoint, assignment, response_with(AttemptStatus::ConnectFailed));
    return;
  }
  if (assignment.attempt)
    attempts_[*assignment.attempt] = connection;
  connection->assign(assignment);
}

PooledConnection* ConnectionPool::open_connection(EndpointId endpoint) {
  EndpointConnections& entry = endpoints_[endpoint];
  PooledConnection::Owner& owner = *this;  // the private base is accessible only here
  auto connection =
      std::make_unique<PooledConnection>(owner, broker_, make_protocol_(), endpoint, entry.address);
  if (!connection->is_open()) {
    erase_if_unused(endpoint);
    return nullptr;
  }
  PooledConnection* const opened = connection.get();
  connections_[opened] = std::move(connection);
  ++entry.count;
  return opened;
}

// If the connection that became idle last has been idle for too long, so have all others, and the
// loop closes them too.
PooledConnection* ConnectionPool::acquire_idle(EndpointConnections& endpoint) {
  // The timer that closes an idle connection can be late after a pause of the process, so the limit
  // of the settings is checked here too.
  const auto limit_by_settings = idle_time_limit(limits_);
  const auto limit_by_estimate = idle_lifetime_.idle_time_limit(net::now());
  while (!endpoint.idle.empty()) {
    PooledConnection* const connection = endpoint.idle.back();
    const Duration idle_time = connection->idle_time(net::now());
    if (connection->is_open_without_input() && is_within(idle_time, limit_by_settings) &&
        is_within(idle_time, limit_by_estimate)) {
      endpoint.idle.pop_back();
      return connection;
    }
    discard(*connection);
  }
  return nullptr;
}

// The limits bound the number of descriptors in use.
bool ConnectionPool::ensure_capacity(EndpointId endpoint) {
  if (endpoints_[endpoint].count >= limits_.max_connections_per_endpoint)
    return false;
  if (connections_.size() < limits_.max_connections)
    return true;
  PooledConnection* const oldest = longest_idle();
  if (oldest == nullptr) {
    net::log({"connection_pool_exhausted", {{"connections", std::to_string(connections_.size())}}});
    return false;
  }
  discard(*oldest);
  return true;
}

PooledConnection* ConnectionPool::longest_idle() const {
  const TimePoint now = net::now();
  PooledConnection* oldest = nullptr;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.idle.empty())
      continue;
    PooledConnection* const candidate = endpoint.idle.front();
    if (oldest == nullptr || candidate->idle_time(now) > oldest->idle_time(now))
      oldest = candidate;
  }
  return oldest;
}

bool ConnectionPool::is_current_address(EndpointId endpoint, const std::string& address) const {
  const auto found = endpoints_.find(endpoint);
  return found != endpoints_.end() && found->second.address == address;
}

void ConnectionPool::record_reuse(Duration idle_time, ReuseOutcome outcome) {
  idle_lifetime_.record_reuse(net::now(), idle_time, outcome);
}

void ConnectionPool::complete_assignment(EndpointId endpoint, const Assignment& assignment,
                                         const proxy::UpstreamResponse& response) {
  if (!assignment.attempt) {
    broker_.complete_health_check(endpoint, response);
    return;
  }
  attempts_.erase(*assignment.attempt);
  broker_.complete_attempt(*assignment.attempt, response);
}

void ConnectionPool::add_idle(PooledConnection& connection) {
  endpoints_[connection.endpoint()].idle.push_back(&connection);
}

// Handling a response can end other connections, so each one is looked up again before it is read.
void ConnectionPool::read_pending() {
  std::vector<PooledConnection*> awaiting;
  for (const auto& [connection, owned] : connections_) {
    if (connection->is_awaiting_response())
      awaiting.push_back(connection);
  }
  for (PooledConnection* const connection : awaiting) {
    if (connections_.count(connection) > 0)
      connection->read_pending();
  }
}

void ConnectionPool::cancel_attempt(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end())
    found->second->fail(AttemptStatus::Cancelled);
}

void ConnectionPool::detach_call(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end())
    found->second->detach_call();
}

void ConnectionPool::discard(PooledConnection& connection) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end())
    return;
  connection.close();
  const EndpointId endpoint = connection.endpoint();
  EndpointConnections& entry = endpoints_[endpoint];
  entry.idle.erase(std::remove(entry.idle.begin(), entry.idle.end(), &connection),
                   entry.idle.end());
  --entry.count;
  erase_if_unused(endpoint);
  discarded_.push_back(std::move(found->second));
  connections_.erase(found);
  deletion_timer_.after(0ms);
}

}  // namespace gorsebeam::connection_pool
