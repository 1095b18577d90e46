// A listening socket that hands accepted ones on.
#pragma once

#include "handles.h"

#include <functional>
#include <string>

namespace gorsebeam::net {

class Listener {
public:
  using Accepted = std::function<void(SocketHandle)>;

  explicit Listener(Accepted accepted) : accepted_(std::move(accepted)) {}

  bool listen(const std::string& address, std::string& why);  // false: could not, and why
  std::string address() const;  // where it listens, the port as it was given out
  void pause(bool pause);
  void close();  // takes in first what the kernel has accepted already

  bool open() const { return socket_ != nullptr; }

private:
  static gboolean on_ready(GSocket*, GIOCondition, gpointer self);
  bool accept_one();
  Accepted accepted_;
  SocketHandle socket_;
  SourceHandle source_;
};

}  // namespace gorsebeam::net
