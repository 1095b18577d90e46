#include "listener.h"

#include "log.h"
#include "stream.h"

namespace gorsebeam::net {
namespace {
constexpr int kBacklog = 512;
constexpr int kAcceptsAtOnce = 16;
}  // namespace

bool Listener::listen(const std::string& text, std::string& why) {
  const AddressHandle address = parse_address(text, 0);  // port 0: any free one
  if (!address) {
    why = "'" + text + "' is no address and port";
    return false;
  }
  GError* raw = nullptr;
  socket_.reset(g_socket_new(g_socket_address_get_family(address.get()), G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, &raw));
  if (socket_) {
    g_socket_set_blocking(socket_.get(), FALSE);
    g_socket_set_listen_backlog(socket_.get(), kBacklog);
  }
  if (!socket_ || !g_socket_bind(socket_.get(), address.get(), TRUE, &raw) ||
      !g_socket_listen(socket_.get(), &raw)) {
    const ErrorHandle error(raw);
    why = error ? error->message : "cannot listen";
    socket_.reset();
    return false;
  }
  pause(false);
  return true;
}

std::string Listener::address() const {
  const AddressHandle address(socket_ ? g_socket_get_local_address(socket_.get(), nullptr)
                                      : nullptr);
  if (!address)
    return "";
  auto* inet = G_INET_SOCKET_ADDRESS(address.get());
  gchar* host = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  std::string text = std::string(host) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
  g_free(host);
  return text;
}

void Listener::pause(bool pause) {
  if (pause || !socket_)
    return source_.reset();
  if (source_)
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
  for (int i = 0; i < kAcceptsAtOnce && listener->source_ && listener->accept_one(); ++i) {
  }
  return listener->source_ ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

bool Listener::accept_one() {
  GError* raw = nullptr;
  SocketHandle socket(g_socket_accept(socket_.get(), nullptr, &raw));
  const ErrorHandle error(raw);
  if (!socket) {
    if (!g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
      log({"accept_failed", {{"error", error->message}}});
    return false;
  }
  accepted_(std::move(socket));
  return true;
}

}  // namespace gorsebeam::net
