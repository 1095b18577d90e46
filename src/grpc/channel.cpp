#include "channel.h"

#include "net/timer.h"

namespace gorsebeam::grpc {

bool Channel::dial(const std::string& address, const std::string& path) {
  close();
  authority_ = address, path_ = path;
  stream_ = net::Stream::connect(address, *this);
  return stream_ != nullptr;
}

void Channel::close() {
  if (stream_)
    stream_->close();
  stream_.reset();
  session_.reset();
}

void Channel::fail(const std::string& why) {
  if (!open())
    return;
  close();
  events_.down(why);
}

void Channel::connected() {
  session_ = std::make_shared<Session>(authority_, path_);
  events_.up();
  pump();
}

void Channel::send(std::string_view message) {
  if (!session_)
    return;
  session_->send(message);
  pump();
}

void Channel::ping() {
  if (!session_)
    return;
  session_->ping();
  pump();
}

void Channel::pump() {
  while (session_ && stream_ &&
         stream_->all_written()) {  // what the kernel does not take goes on when it has gone
    const std::string_view bytes = session_->output();
    if (bytes.empty())
      return;
    stream_->write({bytes});
  }
}

void Channel::received() {
  const auto session = session_;  // a message may end the channel, or dial it anew
  session->feed(stream_->input().view(), net::now());
  stream_->input().consume(stream_->input().size());
  events_.heard();
  std::string message;
  while (session_ == session && session->next(message))
    events_.message(message);
  if (session_ != session)
    return;
  pump();
  const std::string fault = session->fault();
  if (!fault.empty())
    fail(fault);
}

}  // namespace gorsebeam::grpc
