/// A listening TCP socket that passes accepted sockets to a callback on the main loop.
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

/// Why a socket does not listen; `message` is for the operators' log.
struct ListenError {
  ListenErrorKind kind;
  std::string message;
};

class Listener {
public:
  using AcceptHandler = std::function<void(SocketHandle)>;

  /// `handle_accepted` runs for each accepted socket and owns it.
  explicit Listener(AcceptHandler handle_accepted);

  /// Listens on a numeric address such as "127.0.0.1:6432"; port 0 means any free one.
  [[nodiscard]] std::optional<ListenError> listen(const std::string& address);

  /// The address with the port that the kernel assigned; empty while it is not open.
  [[nodiscard]] std::string address() const;

  /// While it is paused, clients wait in the kernel's queue.
  void pause();
  void resume();

  /// Accepts what the kernel has queued already, then closes the socket. A connection in the queue
  /// may hold a request, and closing the socket under it would reset it: returns false, and stays
  /// open, while they cannot be accepted, for lack of descriptors or memory.
  [[nodiscard]] bool drain_and_close();

  /// As drain_and_close(), but closes the socket in any case.
  void close();

  [[nodiscard]] bool is_open() const { return socket_ != nullptr; }

  /// The earliest time of `now()` at which the connection that is accepted now can have come: with
  /// more in the queue than one turn accepts, earlier than the turn itself says.
  [[nodiscard]] TimePoint earliest_arrival() const;

private:
  static gboolean on_ready(GSocket*, GIOCondition, gpointer self);

  enum class AcceptResult {
    Accepted,
    QueueEmpty,
    ConnectionLost,  ///< One ended in the queue; the next may be sound.
    NoResources,     ///< None can be taken now, for lack of descriptors or memory.
  };

  AcceptResult accept_one();
  /// Whether another call may accept a connection.
  [[nodiscard]] static bool can_go_on(AcceptResult result);
  /// Returns whether the queue is empty.
  [[nodiscard]] bool accept_all_queued();
  void close_socket();
  void start_watching();
  /// Stops watching for a while: the socket stays readable, and the loop would turn for nothing.
  void back_off();

  AcceptHandler handle_accepted_;
  SocketHandle socket_;
  SourceHandle source_;
  Timer backoff_timer_;
  bool is_paused_ = false;  ///< By the owner.
  /// What the last turn left in the queue came after this.
  std::optional<TimePoint> backlog_since_;
};

}  // namespace gorsebeam::net
