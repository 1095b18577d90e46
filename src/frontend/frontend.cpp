#include "frontend.h"

#include "net/log.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::frontend {
namespace {

constexpr Duration kStopSweepInterval = 50ms;
constexpr Duration kMaxLinger = 250ms;  // clients close their side much sooner

}  // namespace

Frontend::Frontend(proxy::RequestBroker& broker, const FrontendLimits& limits,
                   ConnectionFactory make_connection)
    : broker_(broker), limits_(limits), make_connection_(std::move(make_connection)),
      listener_(new_listener()), removal_timer_([this] {
        removed_.clear();
      }),
      turn_timer_([this] {
        run_turn();
      }),
      stop_timer_([this] {
        stop_accepting();
      }),
      maintenance_timer_([this] {
        run_maintenance();
      }),
      linger_timer_([this] {
        close_expired_lingering();
      }) {
  maintenance_timer_.after(
      connection_admission::surplus_check_interval(0, limits_.max_connections));
}

std::unique_ptr<net::Listener> Frontend::new_listener() {
  return std::make_unique<net::Listener>([this](net::SocketHandle socket) {
    add_accepted(std::move(socket));
  });
}

bool Frontend::is_full() const {
  return connections_.size() >= limits_.max_connections + limits_.max_rejected_connections;
}

std::optional<net::ListenError> Frontend::listen(const std::string& address) {
  auto listener = new_listener();
  std::optional<net::ListenError> error = listener->listen(address);
  if (error)
    return error;
  listener_->close();  // first accepts the connections that the kernel has queued
  listener_ = std::move(listener);
  if (is_full())
    listener_->pause();
  return std::nullopt;
}

void Frontend::set_limits(const FrontendLimits& limits) {
  limits_ = limits;
  if (is_full() && !is_stopping_)
    listener_->pause();
  else
    resume_listening();
}

void Frontend::resume_listening() {
  if (listener_->is_open() && !is_stopping_)
    listener_->resume();
}

void Frontend::add_accepted(net::SocketHandle socket) {
  const bool is_over_limit =
      connections_.size() >= limits_.max_connections && !evict_idle_connection();
  auto connection = make_connection_(*this, std::move(socket));
  if (is_over_limit) {
    connection->mark_over_limit();
    net::log({"client_rejected",
              {{"reason", "too_many_connections"},
               {"connections", std::to_string(connections_.size())}}});
  }
  ClientConnection* key = connection.get();
  connections_[key] = std::move(connection);
  // The number of descriptors is limited, so further connections stay in the kernel's queue.
  if (is_full())
    listener_->pause();
}

Frontend::IdleConnections Frontend::idle_connections() const {
  IdleConnections idle;
  for (const auto& [connection, owned] : connections_) {
    if (!connection->is_idle())
      continue;
    idle.descriptions.push_back(
        {idle.connections.size(), connection->last_progress_at(), connection->answered_count()});
    idle.connections.push_back(connection);
  }
  return idle;
}

bool Frontend::evict_idle_connection() {
  const IdleConnections idle = idle_connections();
  const std::vector<std::size_t> order =
      connection_admission::rank_evictable(idle.descriptions, net::now());
  // Sockets are polled one by one until one can be evicted: at full capacity a system call for each
  // connection at each accept stalled the loop for over a second.
  for (const std::size_t index : order) {
    if (idle.connections[index]->has_unread_input())
      continue;
    idle.connections[index]->close_idle(CloseReason::Evicted);
    return true;
  }
  return false;
}

void Frontend::run_maintenance() {
  const TimePoint now = net::now();
  close_overdue(now);
  close_surplus(now);
  maintenance_timer_.after(
      connection_admission::surplus_check_interval(connections_.size(), limits_.max_connections));
}

void Frontend::close_overdue(TimePoint now) {
  // The connections are collected first, as a rejection removes one from the map.
  std::vector<std::pair<RejectReason, ClientConnection*>> overdue;
  for (const auto& [connection, owned] : connections_) {
    if (const auto reason = connection->overdue_reason(now))
      overdue.emplace_back(*reason, connection);
  }
  for (const auto& [reason, connection] : overdue)
    connection->reject_and_close(reason);
}

void Frontend::close_surplus(TimePoint now) {
  const IdleConnections idle = idle_connections();
  const std::vector<connection_admission::CloseCandidate> candidates =
      connection_admission::rank_surplus(idle.descriptions, now, connections_.size(),
                                         limits_.max_connections);
  for (const connection_admission::CloseCandidate& candidate : candidates) {
    if (connections_.size() <= candidate.close_above)
      continue;
    ClientConnection* connection = idle.connections[candidate.index];
    if (connection->has_unread_input())
      continue;
    if (connection->answered_count() > 0) {
      connection->close_idle(CloseReason::Idle);
      continue;
    }
    connection->mark_over_limit();  // selects the protocol's error code
    connection->reject_and_close(RejectReason::TooManyConnections);
  }
}

bool Frontend::try_expensive_work(ClientConnection& connection) {
  if (turns_.try_use_turn(connection))
    return true;
  if (!turn_timer_.is_set())
    turn_timer_.after(0ms);
  return false;
}

void Frontend::run_turn() {
  ClientConnection* const connection = turns_.begin_turn();
  if (connection != nullptr)
    connection->resume_processing();
  if (!turns_.is_empty())
    turn_timer_.after(0ms);
}

void Frontend::enforce_buffer_limit() {
  if (net::total_buffered_bytes() <= limits_.max_buffered_bytes)
    return;
  // A client that is owed no answer loses nothing but an incomplete message.
  ClientConnection* largest = find_largest([](const ClientConnection& connection) {
    return !connection.is_owed_answer();
  });
  if (largest == nullptr)
    largest = find_largest([](const ClientConnection& connection) {
      return !connection.has_unanswered_request();
    });
  if (largest == nullptr)
    return;
  net::log(
      {"client_closed",
       {{"reason", "memory_limit"}, {"message_bytes", std::to_string(largest->buffered_bytes())}}});
  largest->reject_and_close(RejectReason::MemoryLimitExceeded);
}

template <typename Predicate>
ClientConnection* Frontend::find_largest(Predicate&& is_candidate) const {
  ClientConnection* largest = nullptr;
  std::size_t largest_size = 0;
  for (const auto& [connection, owned] : connections_) {
    const std::size_t size = connection->buffered_bytes();
    if (size <= largest_size || !is_candidate(*connection))
      continue;
    largest = connection;
    largest_size = size;
  }
  return largest;
}

void Frontend::add_lingering(ClientConnection* connection) {
  turns_.remove(*connection);
  const auto found = connections_.find(connection);
  if (found == connections_.end())
    return;
  lingering_.push_back(std::move(found->second));
  connections_.erase(found);
  // To bound the descriptors in use, the connection that has lingered longest is closed. Once the
  // frontend stops, no new connection needs its descriptor.
  if (lingering_.size() > limits_.max_lingering_connections && !is_stopping_)
    lingering_.front()->close(CloseReason::Idle);
  set_linger_timer();
  resume_listening();
}

void Frontend::set_linger_timer() {
  if (!lingering_.empty())
    linger_timer_.at(lingering_.front()->last_progress_at() + kMaxLinger);
}

void Frontend::close_expired_lingering() {
  const TimePoint now = net::now();
  while (!lingering_.empty() && now - lingering_.front()->last_progress_at() >= kMaxLinger)
    lingering_.front()->close(CloseReason::Idle);
  set_linger_timer();
}

void Frontend::remove(ClientConnection* connection) {
  turns_.remove(*connection);
  if (connection->is_lingering())
    return remove_lingering(connection);
  const auto found = connections_.find(connection);
  if (found == connections_.end())
    return;
  removed_.push_back(std::move(found->second));
  connections_.erase(found);
  removal_timer_.after(0ms);
  resume_listening();
}

void Frontend::remove_lingering(ClientConnection* connection) {
  const auto is_connection = [connection](const OwnedConnection& owned) {
    return owned.get() == connection;
  };
  const auto found = std::find_if(lingering_.begin(), lingering_.end(), is_connection);
  if (found == lingering_.end())
    return;
  removed_.push_back(std::move(*found));
  lingering_.erase(found);
  removal_timer_.after(0ms);
}

void Frontend::stop_accepting() {
  is_stopping_ = true;
  const bool is_closed = listener_->drain_and_close();
  for (ClientConnection* connection : idle_connections().connections) {
    if (!connection->has_unread_input())
      connection->close_idle(CloseReason::Shutdown);
  }
  if (!is_closed || !connections_.empty())
    stop_timer_.after(kStopSweepInterval);
}

}  // namespace gorsebeam::frontend
