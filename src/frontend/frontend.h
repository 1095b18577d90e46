/// Accepts the clients of one protocol within bounds, and ends their connections after SIGTERM.
#pragma once

#include "client_connection.h"

#include "connection_admission/connection_admission.h"
#include "net/listener.h"
#include "net/timer.h"
#include "proxy/request_broker.h"

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gorsebeam::frontend {

struct FrontendLimits {
  std::size_t connections = 480;  ///< Served at once.
  std::size_t rejecting = 32;     ///< Accepted beyond that, to be rejected with an error.
  std::size_t lingering = 32;     ///< Have received their last bytes and are not closed yet.
  std::size_t message_bytes = 256 * 1024;
  std::size_t buffered_bytes = 16 << 20;  ///< Of all connections together, upstream ones included.
};

/// Owns the client connections of one protocol. All functions run on the main loop's thread.
class Frontend {
public:
  using ConnectionFactory =
      std::function<std::unique_ptr<ClientConnection>(Frontend&, net::SocketHandle)>;

  /// `broker` outlives the frontend.
  Frontend(proxy::RequestBroker& broker, const FrontendLimits& limits,
           ConnectionFactory make_connection);

  /// May be called again with another address: the old one is closed once the new one is open, and
  /// connections continue.
  [[nodiscard]] std::optional<net::ListenError> listen(const std::string& address);

  /// The listening address with its actual port; empty while it does not listen.
  [[nodiscard]] std::string address() const { return listener_->address(); }

  /// Accepts no more connections and forwards no more requests; retires each connection that is
  /// idle, or as soon as it is. Requests that arrive after that are rejected with an error where
  /// that can still be sent.
  void stop_accepting();

  [[nodiscard]] bool is_stopping() const { return is_stopping_; }

  /// No connection is left.
  [[nodiscard]] bool empty() const {
    return connections_.empty() && lingering_.empty() && !(is_stopping_ && listener_->is_open());
  }

  /// The earliest time at which the connection that is accepted now can have come.
  [[nodiscard]] TimePoint earliest_accept_arrival() const { return listener_->earliest_arrival(); }

  proxy::RequestBroker& broker() { return broker_; }

  [[nodiscard]] const FrontendLimits& limits() const { return limits_; }

  /// Takes effect at once; connections beyond the new limits are retired as they become idle.
  void set_limits(const FrontendLimits& limits);

  /// Destroys a closed connection in the next turn of the loop.
  void remove(ClientConnection* connection);

  /// Keeps the connection until the client hangs up or the time for that is over.
  void add_lingering(ClientConnection* connection);

  /// Closes the connection with the largest incomplete message while all buffers together exceed
  /// their limit; called as input grows.
  void enforce_buffer_limit();

private:
  using OwnedConnection = std::unique_ptr<ClientConnection>;

  /// `connections[i]` is described by the entry of `descriptions` with the index `i`.
  struct IdleConnections {
    std::vector<connection_admission::IdleConnection> descriptions;
    std::vector<ClientConnection*> connections;
  };

  [[nodiscard]] std::unique_ptr<net::Listener> new_listener();
  void add_accepted(net::SocketHandle socket);
  [[nodiscard]] bool is_full() const;

  /// Connections that are idle; something may be unread in the kernel.
  [[nodiscard]] IdleConnections idle_connections() const;

  /// Retires one idle connection in favour of a new one; false where there is none.
  bool evict_idle_connection();
  void close_overdue(TimePoint now);
  void close_surplus(TimePoint now);
  void close_expired_lingering();
  void remove_lingering(ClientConnection* connection);
  void resume_listening();

  proxy::RequestBroker& broker_;
  FrontendLimits limits_;
  ConnectionFactory make_connection_;
  std::unique_ptr<net::Listener> listener_;
  std::map<ClientConnection*, OwnedConnection> connections_;
  std::vector<OwnedConnection> removed_;
  std::list<OwnedConnection> lingering_;  ///< In the order in which they began to linger.
  net::Timer removal_timer_;
  net::Timer stop_timer_;
  net::Timer maintenance_timer_;
  net::Timer linger_timer_;
  bool is_stopping_ = false;
};

}  // namespace gorsebeam::frontend
