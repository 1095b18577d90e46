#include "stream.h"

#include "log.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>
#include <cstring>
#include <exception>
#include <utility>

namespace gorsebeam::net {
namespace {

constexpr std::size_t kReadSize = 4 * 1024;  // at least; doubles while a message goes on
std::size_t buffered_bytes = 0;
constexpr std::size_t kVectorsMost = 16;
// The peer's end, also behind bytes not read. GLib has no name for it and hands the bit on to poll
// as it is.
constexpr auto kPeerEnd = static_cast<GIOCondition>(G_IO_HUP | G_IO_ERR | POLLRDHUP);

bool would_block(const ErrorHandle& error) {
  return g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
}

}  // namespace

AddressHandle parse_address(const std::string& text, unsigned least_port) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return nullptr;
  guint64 port = 0;
  if (!g_ascii_string_to_unsigned(text.c_str() + colon + 1, 10, least_port, 65535, &port, nullptr))
    return nullptr;
  const std::string host = text.substr(0, colon);
  return AddressHandle(
      g_inet_socket_address_new_from_string(host.c_str(), static_cast<guint>(port)));
}

std::size_t buffered() {
  return buffered_bytes;
}

// An empty buffer is given back at once: hundreds of connections stand idle, and memory is short.
void Input::consume(std::size_t count) {
  begin_ += count;
  if (begin_ >= end_)
    release();
}

void Input::release() {
  begin_ = end_ = 0;
  buffered_bytes -= bytes_.size();
  std::vector<char>().swap(bytes_);
}

char* Input::room(std::size_t least) {
  if (bytes_.size() - end_ < least && begin_ > 0) {
    std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
    end_ -= begin_, begin_ = 0;
  }
  if (bytes_.size() - end_ < least) {
    buffered_bytes -= bytes_.size();
    bytes_.resize(std::max(bytes_.size() * 2, end_ + least));
    buffered_bytes += bytes_.size();
  }
  return bytes_.data() + end_;
}

Stream::Stream(SocketHandle socket, Events& events) : events_(&events), socket_(std::move(socket)) {
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

std::shared_ptr<Stream> Stream::connect(const std::string& text, Events& events) {
  const AddressHandle address = parse_address(text);
  if (!address)
    return nullptr;
  GError* raw = nullptr;
  SocketHandle socket(g_socket_new(g_socket_address_get_family(address.get()), G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_TCP, &raw));
  ErrorHandle error(raw);
  if (!socket)
    return nullptr;
  std::shared_ptr<Stream> stream(new Stream(std::move(socket), events));
  raw = nullptr;
  // Also where it fails at once the end is told from the main loop, by the source, never from in
  // here.
  g_socket_connect(stream->socket_.get(), address.get(), nullptr, &raw);
  error.reset(raw);
  stream->connecting_ = true;
  stream->watch_out();
  return stream;
}

std::shared_ptr<Stream> Stream::adopt(SocketHandle socket, Events& events) {
  std::shared_ptr<Stream> stream(new Stream(std::move(socket), events));
  stream->watch_in();
  return stream;
}

Stream::~Stream() {
  close();
}

void Stream::close() {
  in_.reset();
  out_.reset();
  end_.reset();
  if (socket_)
    g_socket_close(socket_.get(), nullptr);
  socket_.reset();
  buffered_bytes -= output_.size();
  std::string().swap(output_);
  written_ = 0;
}

void Stream::shut() {
  if (socket_)
    g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

void Stream::watch_in() {
  if (in_ || paused_ || !socket_ || connecting_)
    return;
  in_.watch(socket_.get(), G_IO_IN, &Stream::on_in, this);
}

void Stream::watch_out() {
  if (out_ || !socket_)
    return;
  out_.watch(socket_.get(), G_IO_OUT, &Stream::on_out, this);
}

void Stream::pause_reading(bool pause, bool heed_end) {
  if (!pause || !heed_end)
    end_.reset();
  if (pause && heed_end && !end_ && socket_)
    end_.watch(socket_.get(), kPeerEnd, &Stream::on_end, this);
  if (paused_ == pause)
    return;
  paused_ = pause;
  if (pause)
    in_.reset();
  else
    watch_in();
}

bool Stream::peer_left() const {
  return !socket_ || g_socket_condition_check(socket_.get(), kPeerEnd) != 0;
}

bool Stream::readable() const {
  return socket_ &&
         g_socket_condition_check(socket_.get(),
                                  static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR)) != 0;
}

// Whatever is thrown while one connection is served ends that connection and nothing else.
template <typename F>
void Stream::guarded(F&& step) {
  try {
    step();
  } catch (const std::exception& error) {
    log({"connection_closed", {{"reason", "exception"}, {"error", error.what()}}});
    fail("exception");
  }
}

gboolean Stream::on_in(GSocket*, GIOCondition, gpointer self) {
  auto* stream = static_cast<Stream*>(self);
  const auto keep = stream->shared_from_this();
  stream->guarded([&] {
    stream->read_some();
  });
  return stream->in_ ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

gboolean Stream::on_end(GSocket*, GIOCondition, gpointer self) {
  auto* stream = static_cast<Stream*>(self);
  const auto keep = stream->shared_from_this();
  stream->end_.reset();
  stream->guarded([&] {
    stream->events_->left();
  });
  return G_SOURCE_REMOVE;
}

gboolean Stream::on_out(GSocket*, GIOCondition, gpointer self) {
  auto* stream = static_cast<Stream*>(self);
  const auto keep = stream->shared_from_this();
  stream->guarded([&] {
    if (stream->connecting_) {
      GError* raw = nullptr;
      const bool up = g_socket_check_connect_result(stream->socket_.get(), &raw);
      const ErrorHandle error(raw);
      // A socket whose connect failed at once has no peer, and no error left to tell it.
      if (!up || !g_socket_is_connected(stream->socket_.get()))
        return stream->fail(error ? error->message : "not connected");
      stream->connecting_ = false;
      stream->out_.reset();
      stream->watch_in();
      if (!stream->all_written())
        stream->watch_out();  // what was written before it was up
      stream->events_->connected();
      return;
    }
    stream->write_some();
  });
  return stream->out_ ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

void Stream::fail(const std::string& why) {
  if (!socket_)
    return;
  close();
  events_->ended(why);
}

void Stream::read_some() {
  char* room = input_.room(kReadSize);
  GError* raw = nullptr;
  const gssize got = g_socket_receive(socket_.get(), room, input_.room_size(), nullptr, &raw);
  const ErrorHandle error(raw);
  if (got < 0 && would_block(error))
    return;
  if (got < 0)
    return fail(error->message);
  if (got == 0)
    return fail("closed by the peer");
  input_.filled(static_cast<std::size_t>(got));
  events_->received();
}

void Stream::write(const Parts& parts) {
  if (!socket_)
    return;
  if (!all_written() || connecting_ || parts.size() > kVectorsMost) {
    keep_rest(parts, 0);
    return watch_out();
  }
  GOutputVector vectors[kVectorsMost];
  std::size_t total = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    vectors[i] = {parts[i].data(), parts[i].size()};
    total += parts[i].size();
  }
  GError* raw = nullptr;
  const gssize sent =
      g_socket_send_message(socket_.get(), nullptr, vectors, static_cast<gint>(parts.size()),
                            nullptr, 0, G_SOCKET_MSG_NONE, nullptr, &raw);
  const ErrorHandle error(raw);
  const std::size_t done = sent > 0 ? static_cast<std::size_t>(sent) : 0;
  if (done == total && sent >= 0)
    return;
  // The rest waits; a broken connection is told from the main loop, when its source finds it
  // broken.
  keep_rest(parts, done);
  watch_out();
}

void Stream::keep_rest(const Parts& parts, std::size_t done) {
  for (const std::string_view part : parts) {
    const std::size_t skip = std::min(done, part.size());
    done -= skip;
    output_.append(part.substr(skip));
    buffered_bytes += part.size() - skip;
  }
}

void Stream::write_some() {
  GError* raw = nullptr;
  const gssize sent =
      g_socket_send(socket_.get(), output_.data() + written_, pending(), nullptr, &raw);
  const ErrorHandle error(raw);
  if (sent < 0 && would_block(error))
    return;
  if (sent < 0)
    return fail(error->message);
  written_ += static_cast<std::size_t>(sent);
  if (!all_written())
    return;
  written_ = 0;
  buffered_bytes -= output_.size();
  std::string().swap(output_);
  out_.reset();
  events_->flushed();
}

}  // namespace gorsebeam::net
