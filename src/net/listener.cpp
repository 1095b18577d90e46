#include "listener.h"

#include "address.h"
#include "log.h"
#include "loop_monitor.h"

namespace gorsebeam::net {
namespace {

constexpr int kBacklog = 512;
constexpr int kMaxAcceptsPerTurn = 16;

SocketHandle open_listening_socket(GSocketAddress* address, ErrorHandle& error) {
  GError* raw = nullptr;
  SocketHandle socket(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_TCP, &raw));
  if (socket) {
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_listen_backlog(socket.get(), kBacklog);
  }
  const bool listens = socket && g_socket_bind(socket.get(), address, TRUE, &raw) != FALSE &&
                       g_socket_listen(socket.get(), &raw) != FALSE;
  error.reset(raw);
  return listens ? std::move(socket) : nullptr;
}

}  // namespace

std::optional<ListenError> Listener::listen(const std::string& address) {
  const AddressHandle parsed = parse_address(address, 0);
  if (!parsed)
    return ListenError{ListenErrorKind::InvalidAddress, "'" + address + "' is no address and port"};
  ErrorHandle error;
  socket_ = open_listening_socket(parsed.get(), error);
  if (!socket_)
    return ListenError{ListenErrorKind::SystemError, error ? error->message : "cannot listen"};
  resume();
  return std::nullopt;
}

std::string Listener::address() const {
  const AddressHandle address(socket_ ? g_socket_get_local_address(socket_.get(), nullptr)
                                      : nullptr);
  if (!address)
    return "";
  auto* inet = G_INET_SOCKET_ADDRESS(address.get());
  const StringHandle host(g_inet_address_to_string(g_inet_socket_address_get_address(inet)));
  return std::string(host.get()) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
}

void Listener::pause() {
  source_.reset();
}

void Listener::resume() {
  if (!socket_ || source_)
    return;
  source_.watch(socket_.get(), G_IO_IN, &Listener::on_ready, this);
}

void Listener::close() {
  while (socket_ && accept_one()) {
  }
  source_.reset();
  if (socket_)
    g_socket_close(socket_.get(), nullptr);
  socket_.reset();
}

gboolean Listener::on_ready(GSocket*, GIOCondition, gpointer self) {
  auto* listener = static_cast<Listener*>(self);
  // The handler may pause the listener, which resets the source.
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i)
    if (!listener->source_ || !listener->accept_one())
      break;
  return listener->source_ ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

bool Listener::accept_one() {
  GError* raw = nullptr;
  SocketHandle socket(g_socket_accept(socket_.get(), nullptr, &raw));
  const ErrorHandle error(raw);
  if (socket) {
    count_loop_work(LoopWork::Accept);
    handle_accepted_(std::move(socket));
    return true;
  }
  if (g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) == FALSE)
    log({"accept_failed", {{"error", error->message}}});
  return false;
}

}  // namespace gorsebeam::net
