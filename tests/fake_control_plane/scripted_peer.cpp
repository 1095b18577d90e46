#include "scripted_peer.h"

#include "integration/event_wait.h"

#include "net/listener.h"
#include "net/stream.h"

#include <list>
#include <utility>

namespace fake_control_plane {

using gorsebeam::net::Listener;
using gorsebeam::net::SocketHandle;
using gorsebeam::net::Stream;

struct ScriptedPeer::Connection : Stream::Events {
  Connection(SocketHandle socket, const std::string& bytes)
      : stream(Stream::adopt(std::move(socket), *this)) {
    stream->write({bytes});
  }

  void received() override { stream->input().consume(stream->input().size()); }

  void ended(const std::string&) override {}

  std::shared_ptr<Stream> stream;
};

struct ScriptedPeer::Server {
  explicit Server(std::string its_bytes) : bytes(std::move(its_bytes)) {}

  std::string bytes;
  std::list<std::unique_ptr<Connection>> connections;
  Listener listener{[this](SocketHandle socket) {
    connections.push_back(std::make_unique<Connection>(std::move(socket), bytes));
  }};
};

ScriptedPeer::ScriptedPeer(std::string bytes)
    : server_(std::make_unique<Server>(std::move(bytes))) {
  const auto error = server_->listener.listen("127.0.0.1:0");
  test_harness::require(!error,
                        error ? "the scripted peer cannot listen on 127.0.0.1:0: " + error->message
                              : std::string());
}

ScriptedPeer::~ScriptedPeer() = default;

std::string ScriptedPeer::address() const {
  return server_->listener.address();
}

int ScriptedPeer::connection_count() const {
  return static_cast<int>(server_->connections.size());
}

}  // namespace fake_control_plane
