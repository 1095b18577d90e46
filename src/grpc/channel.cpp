#include "channel.h"

#include "net/timer.h"

namespace gorsebeam::grpc {

std::optional<ChannelError> Channel::open(const std::string& address, const std::string& path) {
  close();
  authority_ = address;
  path_ = path;
  stream_ = net::Stream::connect(address, *this);
  if (!stream_)
    return ChannelError{ChannelError::Code::InvalidAddress,
                        "cannot open a connection to " + address};
  return std::nullopt;
}

void Channel::close() {
  if (stream_)
    stream_->close();
  stream_.reset();
  session_.reset();
}

void Channel::fail(const ChannelError& error) {
  if (!is_open())
    return;
  close();
  events_.on_disconnected(error);
}

void Channel::connected() {
  session_ = std::make_shared<Session>(authority_, path_);
  events_.on_connected();
  write_output();
}

void Channel::ended(const std::string& why) {
  fail({ChannelError::Code::ConnectionLost, why});
}

void Channel::send_message(std::string_view message) {
  if (!session_)
    return;
  session_->send_message(message);
  write_output();
}

void Channel::send_ping() {
  if (!session_)
    return;
  session_->send_ping();
  write_output();
}

// Writes the session's output until the kernel accepts no more; the rest stays in the session until
// `flushed` is called.
void Channel::write_output() {
  while (session_ && stream_ && stream_->all_written()) {
    const std::string_view bytes = session_->next_output();
    if (bytes.empty())
      return;
    stream_->write({bytes});
  }
}

void Channel::received() {
  const auto session = session_;  // an event handler may close or reopen the channel
  session->receive(stream_->input().view(), net::now());
  stream_->input().consume(stream_->input().size());
  events_.on_bytes_received();
  while (session_ == session) {
    const std::optional<std::string> message = session->next_message();
    if (!message)
      break;
    events_.on_message(*message);
  }
  if (session_ != session)
    return;
  write_output();
  if (const auto error = session->error())
    fail({ChannelError::Code::SessionEnded, error->message});
}

}  // namespace gorsebeam::grpc
