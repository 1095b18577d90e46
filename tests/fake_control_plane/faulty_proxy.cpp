#include "faulty_proxy.h"

#include "integration/event_wait.h"

#include "net/listener.h"
#include "net/stream.h"

#include <list>
#include <optional>
#include <utility>

namespace fake_control_plane {

using gorsebeam::net::Listener;
using gorsebeam::net::SocketHandle;
using gorsebeam::net::Stream;

/// A connection of the gateway to the proxy, and the connection to the service that the proxy
/// opened for it.
struct FaultyProxy::Tunnel {
  enum class Peer { Gateway, Service };

  struct Side : Stream::Events {
    Side(Tunnel& its_tunnel, Peer its_peer) : tunnel(its_tunnel), peer(its_peer) {}

    void received() override { tunnel.forward_from(*this); }

    void ended(const std::string&) override { tunnel.close(); }

    Tunnel& tunnel;
    Peer peer;
    std::shared_ptr<Stream> stream;
  };

  Tunnel(Proxy& its_proxy, SocketHandle socket, const std::string& service_address)
      : proxy(its_proxy) {
    gateway.stream = Stream::adopt(std::move(socket), gateway);
    service.stream = Stream::connect(service_address, service);
  }

  void forward_from(Side& sender);

  void close() {
    gateway.stream->close();
    service.stream->close();
  }

  Proxy& proxy;
  Side gateway{*this, Peer::Gateway};
  Side service{*this, Peer::Service};
};

struct FaultyProxy::Proxy {
  explicit Proxy(std::string its_service_address)
      : service_address(std::move(its_service_address)) {}

  std::string service_address;
  std::list<std::unique_ptr<Tunnel>> tunnels;
  bool discards_traffic = false;
  std::optional<std::size_t> bytes_until_disconnect;
  Listener listener{[this](SocketHandle socket) {
    tunnels.push_back(std::make_unique<Tunnel>(*this, std::move(socket), service_address));
  }};
};

void FaultyProxy::Tunnel::forward_from(Side& sender) {
  std::string bytes(sender.stream->input().view());
  sender.stream->input().consume(bytes.size());
  if (proxy.discards_traffic)
    return;
  if (sender.peer == Peer::Gateway) {
    if (!bytes.empty())
      service.stream->write({bytes});
    return;
  }
  std::optional<std::size_t>& limit = proxy.bytes_until_disconnect;
  const bool reaches_limit = limit && bytes.size() >= *limit;
  if (reaches_limit)
    bytes.resize(*limit);
  if (limit)
    *limit -= bytes.size();
  if (!bytes.empty())
    gateway.stream->write({bytes});
  if (!reaches_limit)
    return;
  limit.reset();
  close();
}

FaultyProxy::FaultyProxy(const std::string& service_address)
    : proxy_(std::make_unique<Proxy>(service_address)) {
  const auto error = proxy_->listener.listen("127.0.0.1:0");
  test_harness::require(!error,
                        error ? "the faulty proxy cannot listen on 127.0.0.1:0: " + error->message
                              : std::string());
}

FaultyProxy::~FaultyProxy() = default;

std::string FaultyProxy::address() const {
  return proxy_->listener.address();
}

void FaultyProxy::disconnect_after(std::size_t byte_count) {
  proxy_->bytes_until_disconnect = byte_count;
}

void FaultyProxy::start_discarding() {
  proxy_->discards_traffic = true;
}

void FaultyProxy::resume_forwarding() {
  proxy_->discards_traffic = false;
}

}  // namespace fake_control_plane
