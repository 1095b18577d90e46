#include "stream.h"

#include "log.h"
#include "loop_monitor.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace gorsebeam::net {
namespace {

constexpr std::size_t kMinReadSize = 4 * 1024;  // doubles while a message goes on
constexpr std::size_t kMaxVectors = 16;
constexpr int kMaxPendingReads = 64;
constexpr int kMaxTransientErrors = 50;
constexpr Duration kTransientErrorBackoff = 5ms;

// The peer's end, also behind unread bytes. GLib has no name for POLLRDHUP and passes the bit on
// to poll as it is.
constexpr auto kPeerClosed = static_cast<GIOCondition>(G_IO_HUP | G_IO_ERR | POLLRDHUP);
constexpr auto kReadable = static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR);

bool would_block(const ErrorHandle& error) {
  return g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
}

}  // namespace

Stream::Stream(SocketHandle socket, Events& events)
    : events_(&events), socket_(std::move(socket)), backoff_timer_([this] {
        end_backoff();
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
  // An immediate failure is also reported by the source, from the main loop.
  g_socket_connect(stream->socket_.get(), parsed.get(), nullptr, nullptr);
  stream->connecting_ = true;
  stream->watch_writable();
  return stream;
}

std::shared_ptr<Stream> Stream::adopt(SocketHandle socket, Events& events) {
  return adopt(std::move(socket), events, now());
}

std::shared_ptr<Stream> Stream::adopt(SocketHandle socket, Events& events, TimePoint arrival) {
  std::shared_ptr<Stream> stream(new Stream(std::move(socket), events));
  stream->last_input_iteration_ = iteration();
  stream->earliest_arrival_ = arrival;
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
  backoff_timer_.stop();
  if (socket_)
    g_socket_close(socket_.get(), nullptr);
  socket_.reset();
  release_output();
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
  watch_readable();
}

bool Stream::has_peer_closed() const {
  return !socket_ || g_socket_condition_check(socket_.get(), kPeerClosed) != 0;
}

bool Stream::readable() const {
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
    for (int i = 0; i < kMaxPendingReads && !connecting_ && readable_source_ && readable(); ++i)
      read_some();
  });
}

void Stream::finish_connecting() {
  GError* raw = nullptr;
  const bool succeeded = g_socket_check_connect_result(socket_.get(), &raw) != FALSE;
  const ErrorHandle error(raw);
  // A socket whose connect failed at once has no peer, and its error was consumed by that call.
  if (!succeeded || g_socket_is_connected(socket_.get()) == FALSE)
    return fail(error ? error->message : "not connected");
  connecting_ = false;
  writable_source_.reset();
  watch_readable();
  if (!all_written())
    watch_writable();  // bytes were written before the connection was established
  events_->connected();
}

// GLib reports a lack of memory (ENOMEM) as one of space, and has no code for one of buffers
// (ENOBUFS).
bool Stream::back_off_after_transient_error(const GError& error) {
  const bool may_pass = error.domain == G_IO_ERROR &&
                        (error.code == G_IO_ERROR_NO_SPACE || error.code == G_IO_ERROR_FAILED);
  if (!may_pass || ++transient_errors_ > kMaxTransientErrors)
    return false;
  readable_source_.reset();
  writable_source_.reset();
  backoff_timer_.after(kTransientErrorBackoff);
  return true;
}

void Stream::end_backoff() {
  last_input_iteration_ = iteration();
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

// After a pause more may wait than one turn reads: what is there in the next turn again may have
// come as early. Else each turn says it for itself.
void Stream::record_arrival() {
  const std::uint64_t current = iteration();
  const bool continues = current <= last_input_iteration_ + 1;
  const bool was_stalled = now() - earliest_arrival_ > kMaxTimerLateness;
  const TimePoint arrival = net::earliest_arrival();
  earliest_arrival_ = continues && was_stalled ? std::min(arrival, earliest_arrival_) : arrival;
  last_input_iteration_ = current;
}

void Stream::read_some() {
  count_loop_work(LoopWork::Read);
  record_arrival();
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
  transient_errors_ = 0;
  if (size == 0)
    return fail("closed by the peer");
  input_.append_written(static_cast<std::size_t>(size));
  events_->received();
}

void Stream::write(const ByteSpans& parts) {
  if (!socket_)
    return;
  if (!all_written() || connecting_ || parts.size() > kMaxVectors) {
    buffer_unsent(parts, 0);
    return watch_writable();
  }
  std::array<GOutputVector, kMaxVectors> vectors;
  std::size_t total = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    vectors[i] = {parts[i].data(), parts[i].size()};
    total += parts[i].size();
  }
  const gssize result =
      g_socket_send_message(socket_.get(), nullptr, vectors.data(), static_cast<gint>(parts.size()),
                            nullptr, 0, G_SOCKET_MSG_NONE, nullptr, nullptr);
  const std::size_t sent = result > 0 ? static_cast<std::size_t>(result) : 0;
  if (result >= 0 && sent == total)
    return;
  // A broken connection is reported from the main loop, when the source finds it broken.
  buffer_unsent(parts, sent);
  watch_writable();
}

void Stream::buffer_unsent(const ByteSpans& parts, std::size_t sent) {
  for (const std::string_view part : parts) {
    const std::size_t skipped = std::min(sent, part.size());
    sent -= skipped;
    output_.append(part.substr(skipped));
    count_buffered(part.size() - skipped, 0);
  }
}

void Stream::release_output() {
  written_ = 0;
  count_buffered(0, output_.size());
  std::string().swap(output_);
}

void Stream::write_some() {
  GError* raw = nullptr;
  const gssize sent =
      g_socket_send(socket_.get(), output_.data() + written_, unsent_size(), nullptr, &raw);
  const ErrorHandle error(raw);
  if (sent < 0 && would_block(error))
    return;
  if (sent < 0 && back_off_after_transient_error(*error))
    return;
  if (sent < 0)
    return fail(error->message);
  transient_errors_ = 0;
  written_ += static_cast<std::size_t>(sent);
  if (!all_written())
    return;
  release_output();
  writable_source_.reset();
  events_->flushed();
}

}  // namespace gorsebeam::net
