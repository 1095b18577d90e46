/// A listening TCP socket that passes accepted sockets to a callback on the event loop.
#pragma once

#include "handles.h"
#include "timer.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace gorsebeam::net {

enum class ListenErrorKind { InvalidAddress, SystemError };

/// Why `Listener::listen` failed; `message` is for the operators' log.
struct ListenError {
  ListenErrorKind kind;
  std::string message;
};

class Listener {
public:
  using AcceptHandler = std::function<void(SocketHandle)>;

  /// `handle_accepted` is called with each accepted socket and takes ownership of it.
  explicit Listener(AcceptHandler handle_accepted);

  /// Listens on a numeric address such as "127.0.0.1:6432"; port 0 selects any free port.
  [[nodiscard]] std::optional<ListenError> listen(const std::string& address);

  /// The address that the socket listens on, with the port that the kernel assigned. Empty while
  /// the socket is not open.
  [[nodiscard]] std::string address() const;

  /// While the listener is paused, new connections stay in the kernel's queue.
  void pause();
  void resume();

  /// Accepts the connections that the kernel has queued, then closes the socket. A queued
  /// connection may hold a request, and closing the socket would reset that connection. Therefore
  /// returns false and leaves the socket open if queued connections are left, such as for lack of
  /// file descriptors or memory.
  [[nodiscard]] bool drain_and_close();

  /// Accepts queued connections as `drain_and_close` does, but always closes the socket.
  void close();

  [[nodiscard]] bool is_open() const { return socket_ != nullptr; }

  /// The earliest time, on the clock of `now()`, at which the connection that is being accepted can
  /// have arrived. It is before `net::earliest_arrival()` if an earlier iteration left connections
  /// in the queue.
  [[nodiscard]] TimePoint earliest_arrival() const;

private:
  static gboolean on_ready(GSocket*, GIOCondition, gpointer self);

  enum class AcceptResult {
    Accepted,
    QueueEmpty,
    ConnectionLost,  ///< A queued connection failed and has left the queue; the next one may be
                     ///< intact.
    NoResources,     ///< No connection can be accepted for lack of file descriptors or memory.
  };

  AcceptResult accept_one();

  /// Whether another call of `accept_one` may accept a connection.
  [[nodiscard]] static bool can_continue(AcceptResult result);

  /// Accepts a bounded number of queued connections. Returns whether the queue is empty.
  [[nodiscard]] bool accept_all_queued();
  void close_socket();
  void start_watching();

  /// Stops watching the socket for a short time. A socket whose queue cannot be accepted stays
  /// readable, so without the pause each iteration of the event loop would fail to accept again.
  void back_off();

  AcceptHandler handle_accepted_;
  SocketHandle socket_;
  SourceHandle source_;
  Timer backoff_timer_;
  bool is_paused_ = false;  ///< Whether the owner paused the listener.

  /// The earliest arrival of the connections that the last iteration left in the queue.
  std::optional<TimePoint> backlog_arrival_;
};

}  // namespace gorsebeam::net
