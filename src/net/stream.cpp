#include "stream.h"

#include "log.h"
#include "loop_monitor.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <array>
#include <exception>
#include <string_view>
#include <utility>

namespace gorsebeam::net {
namespace {

// The minimum can be small, as the input buffer doubles while a message is incomplete.
constexpr std::size_t kMinReadSize = 4 * 1024;
constexpr std::size_t kMaxOutputVectors = 16;
constexpr int kMaxReadsPerCall = 64;
// With less unread input the kernel's receive buffer has space, even if the input is in small
// parts.
constexpr gssize kMaxUnreadWithSpace = 16 * 1024;
constexpr int kMaxEndedBackoffsPerCall = 3;

// POLLRDHUP is set when the peer has closed its sending side, even if earlier input is unread. GLib
// has no constant for POLLRDHUP and passes the bit to poll(2) unchanged.
constexpr auto kPeerClosed = static_cast<GIOCondition>(G_IO_HUP | G_IO_ERR | POLLRDHUP);
constexpr auto kReadable = static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR);

bool would_block(const ErrorHandle& error) {
  return g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
}

}  // namespace

Stream::Stream(SocketHandle socket, Events& events)
    : events_(&events), socket_(std::move(socket)), backoff_([this] {
        resume_after_backoff();
      }) {
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

std::shared_ptr<Stream> Stream::connect(const std::string& address, Events& events) {
  const AddressHandle parsed = parse_address(address);
  if (!parsed)
    return nullptr;
  SocketHandle socket(g_socket_new(g_socket_address_get_family(parsed.get()), G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_TCP, nullptr));
  if (!socket)
    return nullptr;
  std::shared_ptr<Stream> stream(new Stream(std::move(socket), events));
  // If this call fails at once, the source reports the failure from the event loop.
  g_socket_connect(stream->socket_.get(), parsed.get(), nullptr, nullptr);
  stream->connecting_ = true;
  stream->watch_writable();
  return stream;
}

std::shared_ptr<Stream> Stream::adopt(SocketHandle socket, Events& events) {
  return adopt(std::move(socket), events, now());
}

std::shared_ptr<Stream> Stream::adopt(SocketHandle socket, Events& events,
                                      TimePoint earliest_arrival) {
  std::shared_ptr<Stream> stream(new Stream(std::move(socket), events));
  stream->readable_bound_ = ReadinessBound(current_iteration(), earliest_arrival);
  stream->watch_readable();
  return stream;
}

Stream::~Stream() {
  close();
}

void Stream::close() {
  readable_source_.reset();
  writable_source_.reset();
  peer_close_source_.reset();
  backoff_.stop();
  if (socket_)
    g_socket_close(socket_.get(), nullptr);
  socket_.reset();
  output_.release();
}

void Stream::shut_down_sending() {
  if (socket_)
    g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

void Stream::watch_readable() {
  if (readable_source_ || paused_ || !socket_ || connecting_)
    return;
  readable_source_.watch(socket_.get(), G_IO_IN, &Stream::on_readable, this);
}

void Stream::watch_writable() {
  if (writable_source_ || !socket_)
    return;
  writable_source_.watch(socket_.get(), G_IO_OUT, &Stream::on_writable, this);
}

void Stream::pause_reading(PeerCloseWatch watch) {
  if (watch == PeerCloseWatch::Off)
    peer_close_source_.reset();
  else if (!peer_close_source_ && socket_)
    peer_close_source_.watch(socket_.get(), kPeerClosed, &Stream::on_peer_closed, this);
  paused_ = true;
  readable_source_.reset();
}

void Stream::resume_reading() {
  peer_close_source_.reset();
  if (!paused_)
    return;
  paused_ = false;
  if (is_readable())
    readable_bound_.record_resumed(current_iteration());
  watch_readable();
}

bool Stream::has_peer_closed() const {
  return !socket_ || g_socket_condition_check(socket_.get(), kPeerClosed) != 0;
}

bool Stream::may_miss_peer_close() const {
  return paused_ && socket_ && g_socket_get_available_bytes(socket_.get()) > kMaxUnreadWithSpace;
}

bool Stream::is_readable() const {
  return socket_ && g_socket_condition_check(socket_.get(), kReadable) != 0;
}

template <typename Step>
void Stream::run_guarded(Step&& step) {
  try {
    step();
  } catch (const std::exception& error) {
    log({"connection_closed", {{"reason", "exception"}, {"error", error.what()}}});
    fail("exception");
  }
}

gboolean Stream::on_readable(GSocket*, GIOCondition, gpointer self) {
  auto* stream = static_cast<Stream*>(self);
  const auto keep_alive = stream->shared_from_this();
  stream->run_guarded([stream] {
    stream->read_some();
  });
  return stream->readable_source_ ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

gboolean Stream::on_peer_closed(GSocket*, GIOCondition, gpointer self) {
  auto* stream = static_cast<Stream*>(self);
  const auto keep_alive = stream->shared_from_this();
  stream->peer_close_source_.reset();
  stream->run_guarded([stream] {
    stream->events_->peer_closed();
  });
  return G_SOURCE_REMOVE;
}

gboolean Stream::on_writable(GSocket*, GIOCondition, gpointer self) {
  auto* stream = static_cast<Stream*>(self);
  const auto keep_alive = stream->shared_from_this();
  stream->run_guarded([stream] {
    if (stream->connecting_)
      stream->finish_connecting();
    else
      stream->write_some();
  });
  return stream->writable_source_ ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

void Stream::process_pending() {
  const auto keep_alive = shared_from_this();
  run_guarded([this] {
    if (connecting_ && socket_ && g_socket_condition_check(socket_.get(), G_IO_OUT) != 0)
      finish_connecting();
    int ended_backoffs = 0;
    for (int i = 0; i < kMaxReadsPerCall && !connecting_ && !paused_ && is_readable(); ++i) {
      if (!readable_source_ && ++ended_backoffs > kMaxEndedBackoffsPerCall)
        return;
      if (!readable_source_)
        end_backoff();
      read_some();
    }
  });
}

void Stream::end_backoff() {
  backoff_.stop();
  resume_after_backoff();
}

void Stream::finish_connecting() {
  GError* raw = nullptr;
  const bool succeeded = g_socket_check_connect_result(socket_.get(), &raw) != FALSE;
  const ErrorHandle error(raw);
  // If the call that connects failed at once, it has consumed the error of the socket. The socket
  // is then not connected although no error is found here.
  if (!succeeded || g_socket_is_connected(socket_.get()) == FALSE)
    return fail(error ? error->message : "the connection was not established");
  connecting_ = false;
  writable_source_.reset();
  watch_readable();
  if (!all_written())
    watch_writable();  // output was buffered before the connection was established
  events_->connected();
}

bool Stream::back_off_after_transient_error(const GError& error) {
  if (!backoff_.start(error))
    return false;
  readable_source_.reset();
  writable_source_.reset();
  return true;
}

void Stream::resume_after_backoff() {
  readable_bound_.record_resumed(current_iteration());
  writable_bound_.record_resumed(current_iteration());
  watch_readable();
  if (!all_written())
    watch_writable();
}

void Stream::fail(const std::string& reason) {
  if (!socket_)
    return;
  close();
  events_->ended(reason);
}

void Stream::read_some() {
  count_loop_work(LoopWork::Read);
  readable_bound_.record_use({now(), current_iteration(), net::earliest_arrival()});
  char* space = input_.reserve_space(kMinReadSize);
  GError* raw = nullptr;
  const gssize size = g_socket_receive(socket_.get(), space, input_.free_space(), nullptr, &raw);
  const ErrorHandle error(raw);
  if (size < 0 && would_block(error))
    return;
  if (size < 0 && back_off_after_transient_error(*error))
    return;
  if (size < 0)
    return fail(error->message);
  backoff_.record_success();
  if (size == 0)
    return fail("closed by the peer");
  input_.append_written(static_cast<std::size_t>(size), readable_bound_.earliest());
  events_->received();
}

void Stream::write(const ByteSpans& spans) {
  if (!socket_)
    return;
  if (!all_written() || connecting_ || spans.size() > kMaxOutputVectors) {
    output_.append_unsent(spans, 0);
    return watch_writable();
  }
  std::array<GOutputVector, kMaxOutputVectors> vectors;
  std::size_t total = 0;
  for (std::size_t i = 0; i < spans.size(); ++i) {
    vectors[i] = {spans[i].data(), spans[i].size()};
    total += spans[i].size();
  }
  const gssize result =
      g_socket_send_message(socket_.get(), nullptr, vectors.data(), static_cast<gint>(spans.size()),
                            nullptr, 0, G_SOCKET_MSG_NONE, nullptr, nullptr);
  const std::size_t sent = result > 0 ? static_cast<std::size_t>(result) : 0;
  if (result >= 0 && sent == total)
    return;
  // An error is not reported here: the next write from the event loop finds and reports it.
  output_.append_unsent(spans, sent);
  writable_bound_ = ReadinessBound(current_iteration(), net::earliest_arrival());
  watch_writable();
}

void Stream::write_some() {
  writable_bound_.record_use({now(), current_iteration(), net::earliest_arrival()});
  const std::string_view unsent = output_.unsent();
  GError* raw = nullptr;
  const gssize sent = g_socket_send(socket_.get(), unsent.data(), unsent.size(), nullptr, &raw);
  const ErrorHandle error(raw);
  if (sent < 0 && would_block(error))
    return;
  if (sent < 0 && back_off_after_transient_error(*error))
    return;
  if (sent < 0)
    return fail(error->message);
  backoff_.record_success();
  output_.mark_sent(static_cast<std::size_t>(sent));
  if (!all_written())
    return;
  output_.release();
  writable_source_.reset();
  events_->flushed();
}

}  // namespace gorsebeam::net
