#include "client_connection.h"

#include "frontend.h"

#include "net/log.h"
#include "net/loop_monitor.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace gorsebeam::frontend {
namespace {

// A client that sends no complete message gets an error or a close within 3 s of connecting.
constexpr Duration kMaxMessageTime = 2s;
constexpr Duration kMaxResponseWriteTime = 5s;        // longer than the usual deadlines
constexpr std::size_t kMaxMessagesPerIteration = 16;  // from one connection
// The framing that a message of the maximum size may have in addition.
constexpr std::size_t kMaxFramingBytes = 1024;

// The bytes that are read behind a pending request while more than half of the memory for buffers
// is in use.
constexpr std::size_t kMaxReadAheadUnderPressure = 8 * 1024;

}  // namespace

ClientConnection::ClientConnection(Frontend& frontend, net::SocketHandle socket)
    : frontend_(frontend),
      stream_(net::Stream::adopt(std::move(socket), *this, frontend.earliest_accept_arrival())),
      last_progress_at_(net::now()), resume_timer_([this] {
        resume_processing();
      }) {}

bool ClientConnection::has_pending_request() const {
  return state_ == State::StartingRequest || state_ == State::RequestInFlight;
}

bool ClientConnection::is_closing() const {
  return state_ == State::Closing || state_ == State::Lingering || state_ == State::Closed;
}

bool ClientConnection::is_idle() const {
  return !has_pending_request() && input().empty() && stream_->all_written();
}

// The time that a message waits for the response before it does not count. A pause of the process
// is no such wait, nor is the time until a later iteration of the event loop handles the message.
TimePoint ClientConnection::waiting_since(std::size_t size) const {
  return std::max(stream_->input().earliest_arrival_of_first(size), responded_at_);
}

std::size_t ClientConnection::max_message_bytes() const {
  return frontend_.limits().max_message_bytes;
}

void ClientConnection::received() {
  if (is_closing())
    return consume(input().size());
  limit_read_ahead();
  process_input();
  if (state_ != State::Closed && !has_pending_request())
    frontend_.enforce_buffer_limit();
}

// Bounds the memory that a client can occupy: the messages after a pending request stay in the
// kernel. While memory allows it, more is read, so that the disconnection of a client that sends
// many messages is noticed. Beyond that limit, nothing is read, and only the end of the client's
// sending side is watched.
bool ClientConnection::exceeds_read_ahead() const {
  const FrontendLimits& limits = frontend_.limits();
  const bool has_memory = net::total_buffered_bytes() <= limits.max_buffered_bytes / 2;
  const std::size_t max_read_ahead =
      has_memory ? limits.max_message_bytes : kMaxReadAheadUnderPressure;
  const std::size_t max_size = has_pending_request() ? request_size_ + max_read_ahead
                                                     : limits.max_message_bytes + kMaxFramingBytes;
  return input().size() > max_size;
}

void ClientConnection::limit_read_ahead() {
  if (exceeds_read_ahead())
    stream_->pause_reading(has_pending_request() ? net::PeerCloseWatch::On
                                                 : net::PeerCloseWatch::Off);
}

void ClientConnection::flushed() {
  last_progress_at_ = net::now();
  if (is_closing())
    return linger();
  if (answered_count_ > 0)
    responded_at_ = stream_->earliest_flush();
  process_input();
}

void ClientConnection::peer_closed() {
  close_idle(CloseReason::PeerClosed);
}

void ClientConnection::ended(const std::string& reason) {
  end_reason_ = reason;
  close(CloseReason::PeerClosed);
}

// A request may be answered within `begin_request`. Messages are therefore parsed in a loop here
// and not by recursion. The loop is bounded, because hundreds of commands that are written at once
// must not delay the other connections; the rest is parsed in the next iteration of the event loop.
void ClientConnection::process_input() {
  std::size_t messages = 0;
  while (state_ == State::AwaitingInput && stream_->all_written()) {
    if (messages == kMaxMessagesPerIteration) {
      stream_->pause_reading();
      return resume_timer_.after(0ms);
    }
    ++messages;
    if (!parse_next())
      break;
  }
  // Reading may have been paused before the request began, and only what is read shows that the
  // client disconnects.
  if (has_pending_request() && !exceeds_read_ahead())
    stream_->resume_reading();
  if (state_ != State::AwaitingInput)
    return;
  // The input holds a complete message. What follows it stays in the kernel.
  if (awaits_turn_)
    return stream_->pause_reading(net::PeerCloseWatch::On);
  if (stream_->all_written())
    stream_->resume_reading();
  else
    stream_->pause_reading();
}

bool ClientConnection::parse_next() {
  const std::size_t size_before = input().size();
  awaits_turn_ = false;
  parse();
  const bool has_consumed = input().size() < size_before;
  if (has_consumed) {
    last_progress_at_ = net::now();
    has_sent_message_ = true;
  }
  return has_consumed && !input().empty();
}

void ClientConnection::resume_processing() {
  try {
    process_input();
  } catch (const std::exception& error) {
    net::log({"connection_closed", {{"reason", "exception"}, {"error", error.what()}}});
    close(CloseReason::Exception);
  }
}

proxy::BeginResult ClientConnection::begin_request(Request request, std::size_t size) {
  using proxy::BeginResult;
  if (stream_->has_peer_closed()) {
    close_idle(CloseReason::PeerClosed);
    return BeginResult::Begun;
  }
  state_ = State::StartingRequest;
  request_size_ = size;
  if (frontend_.is_stopping()) {
    reject_request(request.id);
    return BeginResult::Begun;
  }
  std::string id = request.id;
  const BeginResult result = frontend_.broker().begin_request(std::move(request), *this);
  // The request may have been answered within the call.
  if (state_ != State::StartingRequest)
    return result;
  if (result == BeginResult::Begun) {
    state_ = State::RequestInFlight;
    request_id_ = std::move(id);
    return result;
  }
  state_ = State::AwaitingInput;
  net::log({"request_not_accepted", {{"request", id}, {"reason", proxy::name_of(result)}}});
  return result;
}

bool ClientConnection::try_expensive_work() {
  awaits_turn_ = !frontend_.try_expensive_work(*this);
  return !awaits_turn_;
}

void ClientConnection::reject_request(const std::string& id) {
  net::log({"request_rejected", {{"request", id}, {"reason", "shutdown"}}});
  reject(0ms);
}

void ClientConnection::finish_request() {
  const bool was_in_flight = state_ == State::RequestInFlight;
  state_ = State::AwaitingInput;
  answered_count_ = std::min<std::size_t>(answered_count_ + 1, 2);
  responded_at_ = net::earliest_arrival();
  request_id_.clear();
  last_progress_at_ = net::now();
  if (frontend_.is_stopping() && input().empty())
    return close_when_written(CloseReason::Shutdown);
  // If the request was answered within `begin_request`, `process_input` is on the stack and
  // continues.
  if (was_in_flight)
    process_input();
}

std::optional<RejectReason> ClientConnection::overdue_reason(TimePoint now) const {
  if (has_unanswered_request())
    return std::nullopt;
  const Duration waited = now - last_progress_at_;
  if (!stream_->all_written())
    return waited > kMaxResponseWriteTime ? std::optional(RejectReason::ResponseNotRead)
                                          : std::nullopt;
  if (waited <= kMaxMessageTime)
    return std::nullopt;
  if (!input().empty())
    return RejectReason::IncompleteMessage;
  if (has_sent_message_ || has_unread_input())
    return std::nullopt;
  return RejectReason::NothingSent;
}

void ClientConnection::reject_and_close(RejectReason reason) {
  if (!is_closing() && stream_->all_written())
    send_closing_error(reason);
  if (!is_lingering())
    close(CloseReason::Overdue);
}

// If the client has disconnected, its pending request is dropped; buffered output is still sent.
void ClientConnection::close_idle(CloseReason reason) {
  begin_closing(reason);
  linger();
}

void ClientConnection::close_when_written(CloseReason reason) {
  begin_closing(reason);
  last_progress_at_ = net::now();
  if (stream_->all_written())
    linger();
}

void ClientConnection::begin_closing(CloseReason reason) {
  if (is_closing())
    return;
  const bool drops_request = has_pending_request();
  state_ = State::Closing;
  if (drops_request && reason != CloseReason::PeerClosed)
    frontend_.broker().report_closed_unanswered(request_id_);
  net::log({"client_closed",
            {{"reason", name_of(reason)},
             {"pending_request", drops_request ? request_id_ : "none"},
             {"unread_bytes", std::to_string(input().size())},
             {"error", end_reason_}}});
  if (drops_request)
    frontend_.broker().client_disconnected(request_id_);
}

// If a socket is closed while input is unread, or input arrives after the close, the client
// receives a reset and may not read the last response. The sending side is therefore closed first.
void ClientConnection::linger() {
  if (state_ != State::Closing)
    return;
  state_ = State::Lingering;
  last_progress_at_ = net::now();
  stream_->input().release();
  stream_->shut_down_sending();
  stream_->resume_reading();
  frontend_.add_lingering(this);
}

void ClientConnection::close(CloseReason reason) {
  if (state_ == State::Closed)
    return;
  begin_closing(reason);
  stream_->close();
  frontend_.remove(this);  // before the state changes, as `remove` asks `is_lingering`
  state_ = State::Closed;
}

}  // namespace gorsebeam::frontend
