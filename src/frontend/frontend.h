/// Accepts the connections of one protocol's clients within limits, and closes them at shutdown.
#pragma once

#include "client_connection.h"
#include "turn_queue.h"

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
  /// The connections that are served at the same time.
  std::size_t max_connections = 480;
  /// The connections that are accepted beyond `max_connections`, to be rejected with an error.
  std::size_t max_rejected_connections = 32;
  /// The connections that linger (see `ClientConnection::is_lingering`).
  std::size_t max_lingering_connections = 32;
  /// The size of one message of a client.
  std::size_t max_message_bytes = 256 * 1024;
  /// The size of the buffers of all connections of the process, those to endpoints included.
  std::size_t max_buffered_bytes = 16 << 20;
};

/// Owns the client connections of one protocol. All functions run on the event loop's thread.
class Frontend {
public:
  using ConnectionFactory =
      std::function<std::unique_ptr<ClientConnection>(Frontend&, net::SocketHandle)>;

  /// `broker` outlives the frontend.
  Frontend(proxy::RequestBroker& broker, const FrontendLimits& limits,
           ConnectionFactory make_connection);

  /// Listens on `address`. May be called again with another address: the old socket is closed once
  /// the new one is open; connections are not affected.
  [[nodiscard]] std::optional<net::ListenError> listen(const std::string& address);

  /// The listening address with its actual port; empty while the frontend does not listen.
  [[nodiscard]] std::string address() const { return listener_->address(); }

  /// Accepts no more connections and forwards no more requests. Closes each idle connection, and
  /// each other one once it is idle. Requests that arrive meanwhile are rejected with an error if
  /// that can still be sent.
  void stop_accepting();

  [[nodiscard]] bool is_stopping() const { return is_stopping_; }

  /// Whether no connection is left and, if the frontend is stopping, its listening socket is
  /// closed.
  [[nodiscard]] bool is_drained() const {
    return connections_.empty() && lingering_.empty() && !(is_stopping_ && listener_->is_open());
  }

  /// The earliest time at which the connection that is being accepted can have arrived.
  [[nodiscard]] TimePoint earliest_accept_arrival() const { return listener_->earliest_arrival(); }

  proxy::RequestBroker& broker() { return broker_; }

  [[nodiscard]] const FrontendLimits& limits() const { return limits_; }

  /// Applies `limits` at once; connections beyond them are closed once they are idle.
  void set_limits(const FrontendLimits& limits);

  /// Destroys a closed connection in the next iteration of the event loop.
  void remove(ClientConnection* connection);

  /// Keeps a connection that lingers until the client closes its side or 0.25 s have passed.
  void add_lingering(ClientConnection* connection);

  /// Closes a connection if all buffers together exceed their limit: the one with the largest
  /// incomplete message, or else the one with the largest answer that its client has not read.
  /// Called when input was received.
  void enforce_buffer_limit();

  /// For work that takes milliseconds, such as the parsing of a large message: returns whether the
  /// connection may do it now. Otherwise its input is processed again when it is its turn; one
  /// connection has a turn in each iteration of the event loop.
  [[nodiscard]] bool try_expensive_work(ClientConnection& connection);

private:
  using OwnedConnection = std::unique_ptr<ClientConnection>;

  /// The entry of `descriptions` with the index `i` describes `connections[i]`.
  struct IdleConnections {
    std::vector<connection_admission::IdleConnection> descriptions;
    std::vector<ClientConnection*> connections;
  };

  [[nodiscard]] std::unique_ptr<net::Listener> new_listener();
  void add_accepted(net::SocketHandle socket);
  [[nodiscard]] bool is_full() const;

  /// The idle connections; the kernel may hold unread input from them.
  [[nodiscard]] IdleConnections idle_connections() const;

  /// Closes one idle connection to make room for a new one. Returns false if there is none.
  bool evict_idle_connection();
  void run_maintenance();
  void close_overdue(TimePoint now);
  void close_surplus(TimePoint now);
  void close_expired_lingering();
  void set_linger_timer();
  void remove_lingering(ClientConnection* connection);
  void resume_listening();

  /// The connection with the largest buffers of those for which `is_candidate` holds; null if none
  /// has buffered bytes.
  template <typename Predicate>
  [[nodiscard]] ClientConnection* find_largest(Predicate&& is_candidate) const;

  /// Lets the next connection that waits for its turn process its input.
  void run_turn();

  proxy::RequestBroker& broker_;
  FrontendLimits limits_;
  ConnectionFactory make_connection_;
  std::unique_ptr<net::Listener> listener_;
  std::map<ClientConnection*, OwnedConnection> connections_;
  std::vector<OwnedConnection> removed_;  ///< Closed, and destroyed in the next iteration.
  std::list<OwnedConnection> lingering_;  ///< Ordered by when they began to linger.
  TurnQueue<ClientConnection> turns_;
  net::Timer removal_timer_;
  net::Timer turn_timer_;
  net::Timer stop_timer_;
  net::Timer maintenance_timer_;
  net::Timer linger_timer_;
  bool is_stopping_ = false;
};

}  // namespace gorsebeam::frontend
