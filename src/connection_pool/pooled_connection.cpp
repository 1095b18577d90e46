#include "pooled_connection.h"

#include "net/log.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gorsebeam::connection_pool {
namespace {

constexpr Duration kMaxResponseGap = 150ms;  // between two pieces of one response
// A response up to this size is read to its end even while memory is short.
constexpr std::size_t kMaxSmallResponse = 16 * 1024;
constexpr Duration kMaxIdleTimeoutMargin = 3s;

RequestKind request_kind(const Assignment& assignment) {
  return assignment.is_health_check ? RequestKind::HealthCheck : RequestKind::ClientRequest;
}

}  // namespace

Duration idle_time_limit(const PoolLimits& limits) {
  if (limits.idle_timeout <= 0ms)
    return Duration::max();
  return limits.idle_timeout - std::min<Duration>(limits.idle_timeout / 4, kMaxIdleTimeoutMargin);
}

proxy::UpstreamResponse response_with(AttemptStatus status) {
  proxy::UpstreamResponse response;
  response.status = status;
  return response;
}

PooledConnection::PooledConnection(Owner& owner, proxy::RequestBroker& broker,
                                   std::unique_ptr<UpstreamProtocol> protocol, EndpointId endpoint,
                                   std::string address)
    : owner_(owner), broker_(broker), protocol_(std::move(protocol)), timer_([this] {
        handle_timer();
      }),
      endpoint_(endpoint), address_(std::move(address)),
      stream_(net::Stream::connect(address_, *this)) {}

bool PooledConnection::is_idle_and_silent() const {
  return is_open() && stream_->input().size() == 0 && !stream_->readable();
}

void PooledConnection::assign(const Assignment& assignment) {
  assignment_ = assignment;
  in_use_ = true;
  if (state_ == State::Idle)
    write_request();
  else
    timer_.at(std::min(net::now() + owner_.limits().connect_timeout, assignment.deadline));
}

void PooledConnection::detach_call() {
  assignment_.call = nullptr;
  if (state_ == State::Connecting || state_ == State::AwaitingHandshake)
    release(response_with(AttemptStatus::NotSent), Disposition::Keep);
}

void PooledConnection::fail(AttemptStatus status) {
  release(response_with(status), Disposition::Close);
}

void PooledConnection::close() {
  timer_.stop();
  if (stream_)
    stream_->close();
}

void PooledConnection::connected() {
  const std::string handshake = protocol_->handshake_message();
  if (handshake.empty()) {
    become_ready();
    return;
  }
  state_ = State::AwaitingHandshake;
  stream_->write({handshake});
}

void PooledConnection::become_ready() {
  state_ = State::Idle;
  if (in_use_)
    write_request();
  else
    become_idle();
}

// Every request and health check is written here. A connection may come up long after the decision:
// by now the endpoint may be draining, the time for a retry be over, or the evidence that the
// endpoint is current have expired.
void PooledConnection::write_request() {
  const Duration left = assignment_.deadline - net::now();
  if (left <= 0ms || !is_authorized()) {
    net::log({"attempt_not_written",
              {{"endpoint", std::to_string(endpoint_)},
               {"reason", left <= 0ms ? "out_of_time" : "not_allowed"}}});
    release(response_with(AttemptStatus::NotSent), Disposition::Keep);
    return;
  }
  state_ = State::Writing;
  response_started_ = false;
  if (idle_since_ > TimePoint{})
    idle_time_ = net::now() - idle_since_;
  timer_.at(assignment_.deadline);
  stream_->write(assignment_.is_health_check
                     ? protocol_->health_check_message()
                     : protocol_->frame_request(assignment_.call->body(left)));
  if (stream_->all_written())
    flushed();
}

bool PooledConnection::is_authorized() {
  if (assignment_.is_health_check)
    return broker_.authorize_health_check(endpoint_);
  return broker_.authorize_attempt(assignment_.attempt);
}

void PooledConnection::flushed() {
  if (state_ == State::Writing)
    state_ = State::AwaitingResponse;
}

void PooledConnection::received() {
  switch (state_) {
  case State::AwaitingHandshake:
    read_handshake();
    return;
  case State::Writing:
  case State::AwaitingResponse:
    read_response();
    return;
  case State::Connecting:
  case State::Idle:
    owner_.discard(*this);  // nothing was asked
    return;
  }
}

void PooledConnection::read_handshake() {
  const HandshakeResult result = protocol_->parse_handshake(stream_->input().view());
  switch (result.status) {
  case HandshakeResult::Status::Incomplete:
    return;
  case HandshakeResult::Status::Rejected:
    fail(AttemptStatus::Rejected);
    return;
  case HandshakeResult::Status::Failed:
    fail(AttemptStatus::ConnectFailed);
    return;
  case HandshakeResult::Status::Complete:
    stream_->input().consume(result.consumed_bytes);
    become_ready();
    return;
  }
}

void PooledConnection::read_response() {
  const std::string_view input = stream_->input().view();
  const ParsedResponse parsed =
      protocol_->parse_response(input, request_kind(assignment_), InputState::Open);
  const PoolLimits& limits = owner_.limits();
  const bool has_memory =
      net::total_buffered_bytes() <= limits.max_buffered_bytes || input.size() <= kMaxSmallResponse;
  // The bound holds for a complete response too, so that it does not matter in how many reads it
  // arrived.
  const bool is_complete = parsed.status == ParsedResponse::Status::Complete;
  const std::size_t size = is_complete ? parsed.consumed_bytes : input.size();
  const bool fits = size <= limits.max_response_bytes;
  if (parsed.status == ParsedResponse::Status::Incomplete && fits && has_memory) {
    // A response whose length field is wrong would never end: one that began and does not go on is
    // an error.
    response_started_ = true;
    timer_.at(std::min(assignment_.deadline, net::now() + kMaxResponseGap));
    return;
  }
  if (!is_complete || !fits) {
    net::log({"malformed_response", {{"endpoint", std::to_string(endpoint_)}}});
    fail(AttemptStatus::Error);  // the request was sent whole, so it may have run
    return;
  }
  // After a response to a request that was not yet sent whole the connection is of no further use.
  const bool is_reusable =
      state_ == State::AwaitingResponse && input.size() == parsed.consumed_bytes;
  release(parsed.response, is_reusable ? Disposition::Keep : Disposition::Close,
          parsed.consumed_bytes);
}

void PooledConnection::ended(const std::string&) {
  if (!in_use_) {
    owner_.discard(*this);
    return;
  }
  if (state_ != State::AwaitingResponse) {
    release(response_with(AttemptStatus::ConnectFailed), Disposition::Broken);
    return;
  }
  const ParsedResponse parsed = protocol_->parse_response(
      stream_->input().view(), request_kind(assignment_), InputState::Ended);
  if (parsed.status == ParsedResponse::Status::Complete)
    release(parsed.response, Disposition::Close);
  else
    release(response_with(AttemptStatus::Reset), Disposition::Broken);
}

void PooledConnection::handle_timer() {
  if (!in_use_) {
    owner_.discard(*this);  // idle for long enough, or not opened in time
    return;
  }
  const bool is_past_deadline = net::now() >= assignment_.deadline;
  if (state_ == State::AwaitingResponse) {
    const bool has_stalled = response_started_ && !is_past_deadline;
    fail(has_stalled ? AttemptStatus::Error : AttemptStatus::Timeout);
    return;
  }
  // It was not written whole, so it never ran. That a connection was not open by the request's own
  // deadline says nothing of the endpoint.
  const bool is_endpoints_fault =
      !is_past_deadline || state_ == State::Writing || assignment_.is_health_check;
  fail(is_endpoints_fault ? AttemptStatus::ConnectFailed : AttemptStatus::NotSent);
}

// A connection that is not kept is closed before the router hears of the end, as it may start
// another attempt at once, and two must not be in flight. One that is kept is idle when the batch
// ends, so that the next attempt finds it.
void PooledConnection::release(const proxy::UpstreamResponse& response, Disposition disposition,
                               std::size_t used) {
  const Assignment assignment = std::exchange(assignment_, Assignment{});
  const Duration idle_time = std::exchange(idle_time_, 0ms);
  if (idle_time > 0ms)
    owner_.record_idle_use(idle_time, disposition == Disposition::Broken && !response_started_);
  in_use_ = false;
  timer_.stop();
  const proxy::RequestBroker::EventBatch batch(broker_);
  if (disposition != Disposition::Keep && stream_)
    stream_->close();
  owner_.release(endpoint_, assignment, response);
  if (disposition != Disposition::Keep) {
    owner_.discard(*this);
    return;
  }
  if (used > 0)
    stream_->input().consume(used);
  if (state_ == State::Writing || state_ == State::AwaitingResponse)
    state_ = State::Idle;
  if (state_ == State::Idle)
    become_idle();
  else
    timer_.after(owner_.limits().connect_timeout);  // it is still being opened, for a later use
}

void PooledConnection::become_idle() {
  // The endpoint may have been removed or got another address meanwhile.
  if (!owner_.is_current_address(endpoint_, address_)) {
    owner_.discard(*this);
    return;
  }
  idle_since_ = net::now();
  if (owner_.limits().idle_timeout > 0ms)
    timer_.after(idle_time_limit(owner_.limits()));
  owner_.add_idle(*this);
}

}  // namespace gorsebeam::connection_pool
