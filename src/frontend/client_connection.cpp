#include "client_connection.h"

#include "frontend.h"

#include "net/log.h"
#include "net/loop_monitor.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace gorsebeam::frontend {
namespace {

constexpr Duration kMaxMessageTime = 5s / 2;    // an error or a close is due 3 s after connect
constexpr Duration kMaxResponseWriteTime = 5s;  // longer than any deadline
constexpr std::size_t kMaxMessagesPerIteration = 16;  // of one connection in a turn of the loop
constexpr std::size_t kMessageSlack = 1024;

// Bytes that are read behind a pending request while memory is short.
constexpr std::size_t kMaxReadAheadUnderPressure = 8 * 1024;

const char* name_of(CloseReason reason) {
  switch (reason) {
  case CloseReason::PeerClosed:
    return "peer_closed";
  case CloseReason::ClientEnded:
    return "client_ended";
  case CloseReason::ErrorSent:
    return "error_sent";
  case CloseReason::Idle:
    return "idle";
  case CloseReason::Evicted:
    return "replaced";
  case CloseReason::Shutdown:
    return "shutdown";
  case CloseReason::Overdue:
    return "overdue";
  case CloseReason::Exception:
    return "exception";
  }
  return "unknown";
}

}  // namespace

ClientConnection::ClientConnection(Frontend& frontend, net::SocketHandle socket)
    : frontend_(frontend),
      stream_(net::Stream::adopt(std::move(socket), *this, frontend.earliest_accept_arrival())),
      last_progress_at_(net::now()), resume_timer_([this] {
        process_input_guarded();
      }) {}

TimePoint ClientConnection::earliest_arrival() const {
  return input_arrival_.value_or(net::earliest_arrival());
}

bool ClientConnection::is_idle() const {
  return !is_busy_ && stream_->input().size() == 0 && stream_->all_written();
}

void ClientConnection::received() {
  if (state_ != State::Open)
    return stream_->input().consume(stream_->input().size());
  input_arrival_ = stream_->input_arrival();
  // Bounds what a client can make us hold: behind a pending request its next ones wait in the
  // kernel. While memory allows more is read, so that the disconnection of a client that sends much
  // is noticed; beyond that its end is watched without reading on.
  const FrontendLimits& limits = frontend_.limits();
  const bool has_memory = net::total_buffered_bytes() <= limits.buffered_bytes / 2;
  const std::size_t max_read_ahead = has_memory ? limits.message_bytes : kMaxReadAheadUnderPressure;
  const std::size_t max_size =
      is_busy_ ? request_size_ + max_read_ahead : limits.message_bytes + kMessageSlack;
  if (stream_->input().size() > max_size)
    stream_->pause_reading(is_busy_ ? net::PeerCloseWatch::On : net::PeerCloseWatch::Off);
  process_input();
  input_arrival_.reset();
  if (stream_->open() && !is_busy_)
    frontend_.enforce_buffer_limit();
}

void ClientConnection::flushed() {
  last_progress_at_ = net::now();
  if (state_ != State::Open)
    return linger();
  process_input();
}

// A request may be answered while it is being begun, so parsing is a loop here and not a recursion.
// It is bounded, as hundreds of commands written at once must not delay the other connections; the
// rest continues in the next turn.
void ClientConnection::process_input() {
  if (is_processing_)
    return;
  is_processing_ = true;
  std::size_t messages = 0;
  while (!is_busy_ && state_ == State::Open && stream_->open() && stream_->all_written()) {
    if (messages == kMaxMessagesPerIteration) {
      stream_->pause_reading();
      resume_timer_.after(0ms);
      is_processing_ = false;
      return;
    }
    ++messages;
    const std::size_t size_before = stream_->input().size();
    parse();
    if (stream_->input().size() < size_before) {
      last_progress_at_ = net::now();
      has_sent_message_ = true;
    }
    if (!is_busy_ && stream_->input().size() == size_before)
      break;
    if (stream_->input().size() == 0)
      break;
  }
  is_processing_ = false;
  if (is_busy_ || !stream_->open() || state_ != State::Open)
    return;
  if (stream_->all_written())
    stream_->resume_reading();
  else
    stream_->pause_reading();
}

void ClientConnection::process_input_guarded() {
  try {
    process_input();
  } catch (const std::exception& error) {
    net::log({"connection_closed", {{"reason", "exception"}, {"error", error.what()}}});
    close(CloseReason::Exception);
  }
}

bool ClientConnection::begin_request(Request request, std::size_t size) {
  if (stream_->has_peer_closed()) {
    handle_client_disconnect();
    return true;
  }
  is_busy_ = true;
  is_starting_ = true;
  request_size_ = size;
  if (frontend_.is_stopping()) {
    net::log({"request_rejected", {{"request", request.id}, {"reason", "shutdown"}}});
    reject(0ms);
    is_starting_ = false;
    return true;
  }
  std::string id = request.id;
  const bool accepted = frontend_.broker().begin_request(std::move(request), *this);
  is_starting_ = false;
  is_busy_ = is_busy_ && accepted;  // it may have been answered already
  if (is_busy_)
    request_id_ = std::move(id);
  return accepted;
}

void ClientConnection::finish_request() {
  is_busy_ = false;
  answered_count_ = std::min<std::size_t>(answered_count_ + 1, 2);
  request_id_.clear();
  last_progress_at_ = net::now();
  if (frontend_.is_stopping() && stream_->input().size() == 0)
    return close_when_written(CloseReason::Shutdown);
  if (!is_starting_)
    process_input();
}

const char* ClientConnection::overdue_reason(TimePoint now) const {
  if (is_busy_)
    return nullptr;
  const Duration waited = now - last_progress_at_;
  if (!stream_->all_written())
    return waited > kMaxResponseWriteTime ? "an answer was not taken" : nullptr;
  if (waited <= kMaxMessageTime)
    return nullptr;
  if (stream_->input().size() > 0)
    return "a message did not end";
  return !has_sent_message_ && !has_unread() ? "nothing was said" : nullptr;
}

void ClientConnection::reject_and_close(const char* reason) {
  if (state_ == State::Open && stream_->all_written())
    send_closing_error(reason);
  if (stream_->open() && !is_lingering())
    close(CloseReason::Overdue);
}

// The client has disconnected: its pending request ends without an answer. What was written to it
// before is still sent.
void ClientConnection::handle_client_disconnect() {
  begin_closing(CloseReason::PeerClosed);
  if (is_busy_)
    frontend_.broker().client_disconnected(request_id_);
  is_busy_ = false;
  close_idle(CloseReason::PeerClosed);
}

void ClientConnection::close_idle(CloseReason reason) {
  begin_closing(reason);
  linger();
}

void ClientConnection::begin_closing(CloseReason reason) {
  if (state_ != State::Open)
    return;
  state_ = State::Closing;
  if (is_busy_ && reason != CloseReason::PeerClosed)
    frontend_.broker().report_closed_unanswered(request_id_);
  net::log({"client_closed",
            {{"reason", name_of(reason)},
             {"pending_request", is_busy_ ? request_id_ : "none"},
             {"unread_bytes", std::to_string(stream_->input().size())},
             {"error", end_reason_}}});
}

void ClientConnection::close_when_written(CloseReason reason) {
  begin_closing(reason);
  last_progress_at_ = net::now();
  if (stream_->all_written())
    linger();
}

// A close with unread bytes, or bytes that arrive after it, causes a reset at the client, which may
// then never read its last answer. So the sending side is closed first.
void ClientConnection::linger() {
  if (is_lingering() || !stream_->open())
    return;
  state_ = State::Lingering;
  last_progress_at_ = net::now();
  stream_->input().release();
  stream_->shut_down_sending();
  stream_->resume_reading();
  frontend_.add_lingering(this);
}

void ClientConnection::close(CloseReason reason) {
  begin_closing(reason);
  if (is_busy_)
    frontend_.broker().client_disconnected(request_id_);
  is_busy_ = false;
  stream_->close();
  frontend_.remove(this);
}

void ClientConnection::ended(const std::string& reason) {
  end_reason_ = reason;
  close(CloseReason::PeerClosed);
}

}  // namespace gorsebeam::frontend
