/// A listening TCP socket that passes accepted sockets to a callback on the main loop.
#pragma once

#include "handles.h"

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
  explicit Listener(AcceptHandler handle_accepted) : handle_accepted_(std::move(handle_accepted)) {}

  /// Listens on a numeric address such as "127.0.0.1:6432"; port 0 means any free one.
  [[nodiscard]] std::optional<ListenError> listen(const std::string& address);

  /// The address with the port that the kernel assigned; empty while it is not open.
  [[nodiscard]] std::string address() const;

  /// While it is paused, clients wait in the kernel's queue.
  void pause();
  void resume();

  /// Accepts what the kernel has queued already, then closes the socket.
  void close();

  [[nodiscard]] bool is_open() const { return socket_ != nullptr; }

private:
  static gboolean on_ready(GSocket*, GIOCondition, gpointer self);

  /// Returns false if no connection waits or the call failed.
  bool accept_one();

  AcceptHandler handle_accepted_;
  SocketHandle socket_;
  SourceHandle source_;
};

}  // namespace gorsebeam::net
