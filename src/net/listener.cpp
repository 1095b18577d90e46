#include "listener.h"

#include "address.h"
#include "contained_callback.h"
#include "log.h"
#include "loop_monitor.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace gorsebeam::net {
namespace {

constexpr int kListenBacklog = 512;
constexpr int kMaxAcceptsPerIteration = 16;
constexpr int kMaxAcceptsAtClose = 4 * kListenBacklog;
constexpr Duration kAcceptBackoff = 20ms;

SocketHandle open_listening_socket(GSocketAddress* address, ErrorHandle& error) {
  GError* raw = nullptr;
  SocketHandle socket(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_TCP, &raw));
  if (socket) {
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_listen_backlog(socket.get(), kListenBacklog);
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
    return ListenError{ListenErrorKind::InvalidAddress,
                       "'" + address + "' is not a numeric address with a port from 0 to 65535"};
  ErrorHandle error;
  socket_ = open_listening_socket(parsed.get(), error);
  if (!socket_)
    return ListenError{ListenErrorKind::SystemError, error ? error->message : "unknown error"};
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

Listener::Listener(AcceptHandler handle_accepted)
    : handle_accepted_(std::move(handle_accepted)), backoff_timer_([this] {
        start_watching();
      }) {}

TimePoint Listener::earliest_arrival() const {
  const TimePoint arrival = net::earliest_arrival();
  return backlog_arrival_ ? std::min(*backlog_arrival_, arrival) : arrival;
}

// While the listener is paused, new connections enter the kernel's queue at unknown times, so the
// earliest arrival of the connections already in the queue does not apply to them.
void Listener::pause() {
  is_paused_ = true;
  backlog_arrival_.reset();
  source_.reset();
}

void Listener::resume() {
  is_paused_ = false;
  start_watching();
}

void Listener::start_watching() {
  if (!socket_ || source_ || is_paused_)
    return;
  backoff_timer_.stop();
  source_.watch(socket_.get(), G_IO_IN, &Listener::on_ready, this);
}

void Listener::back_off() {
  source_.reset();
  backoff_timer_.after(kAcceptBackoff);
}

bool Listener::drain_and_close() {
  if (!accept_all_queued())
    return false;
  close_socket();
  return true;
}

void Listener::close() {
  static_cast<void>(accept_all_queued());
  close_socket();
}

void Listener::close_socket() {
  source_.reset();
  backoff_timer_.stop();
  if (socket_)
    g_socket_close(socket_.get(), nullptr);
  socket_.reset();
}

bool Listener::accept_all_queued() {
  AcceptResult result = socket_ ? AcceptResult::Accepted : AcceptResult::QueueEmpty;
  for (int i = 0; i < kMaxAcceptsAtClose && can_continue(result); ++i)
    result = accept_one();
  return result == AcceptResult::QueueEmpty;
}

gboolean Listener::on_ready(GSocket*, GIOCondition, gpointer self) {
  auto* listener = static_cast<Listener*>(self);
  const TimePoint earliest = listener->earliest_arrival();
  AcceptResult result = AcceptResult::Accepted;
  // The handler may pause the listener, which resets the source.
  for (int i = 0; i < kMaxAcceptsPerIteration && can_continue(result) && listener->source_; ++i)
    result = listener->accept_one();
  listener->backlog_arrival_.reset();
  if (result != AcceptResult::QueueEmpty && listener->source_)
    listener->backlog_arrival_ = earliest;
  const bool makes_progress =
      result == AcceptResult::Accepted || result == AcceptResult::QueueEmpty;
  if (!makes_progress && listener->source_)
    listener->back_off();
  return listener->source_ ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

bool Listener::can_continue(AcceptResult result) {
  return result == AcceptResult::Accepted || result == AcceptResult::ConnectionLost;
}

// According to accept(2), a lack of file descriptors or memory leaves the connection in the queue.
// Most other errors concern a single connection, which has then left the queue, and the call is to
// be repeated for the next one.
Listener::AcceptResult Listener::accept_one() {
  GError* raw = nullptr;
  SocketHandle socket(g_socket_accept(socket_.get(), nullptr, &raw));
  const ErrorHandle error(raw);
  if (socket) {
    count_loop_work(LoopWork::Accept);
    run_contained("listener", [this, &socket] {
      handle_accepted_(std::move(socket));
    });
    return AcceptResult::Accepted;
  }
  if (g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE)
    return AcceptResult::QueueEmpty;
  log({"accept_failed", {{"error", error->message}}});
  const bool lacks_resources =
      g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_TOO_MANY_OPEN_FILES) != FALSE ||
      g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_NO_SPACE) != FALSE;  // ENOMEM
  return lacks_resources ? AcceptResult::NoResources : AcceptResult::ConnectionLost;
}

}  // namespace gorsebeam::net
