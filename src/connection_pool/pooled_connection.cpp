#include "pooled_connection.h"

#include "net/log.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace gorsebeam::connection_pool {
namespace {

constexpr Duration kMaxResponseGap = 150ms;  // between two parts of one response
// A response up to this size is read to its end even while memory is short.
constexpr std::size_t kMaxSmallResponse = 16 * 1024;

/// Why a request is not written to a connection that is ready.
enum class NotWrittenReason {
  OutOfTime,   ///< The deadline of the assignment has passed.
  NotAllowed,  ///< The broker does not authorize it.
};

const char* name_of(NotWrittenReason reason) {
  switch (reason) {
  case NotWrittenReason::OutOfTime:
    return "out_of_time";
  case NotWrittenReason::NotAllowed:
    return "not_allowed";
  }
  return "unknown";
}

}  // namespace

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

bool PooledConnection::is_open_without_input() const {
  return is_open() && stream_->input().size() == 0 && !stream_->is_readable();
}

Duration PooledConnection::idle_time(TimePoint now) const {
  return idle_since_ ? now - *idle_since_ : 0ms;
}

void PooledConnection::assign(const Assignment& assignment) {
  assignment_ = assignment;
  if (state_.is_opening()) {
    timer_.at(std::min(net::now() + owner_.limits().connect_timeout, assignment.deadline));
    return;
  }
  state_.become_ready();
  write_request();
}

void PooledConnection::detach_call() {
  assignment_->call = nullptr;
  if (state_.is_opening())
    end_assignment(response_with(AttemptStatus::NotSent), Disposition::Keep);
}

void PooledConnection::fail(AttemptStatus status) {
  end_assignment(response_with(status), Disposition::Close);
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
  state_.start_handshake();
  stream_->write({handshake});
}

void PooledConnection::become_ready() {
  state_.become_ready();
  if (assignment_)
    write_request();
  else
    become_idle();
}

// Every request and health check is written here. A connection can become ready long after the
// router's decision: by then the endpoint may be draining, the time for a retry may be over, or the
// evidence that the endpoint is current may have expired.
void PooledConnection::write_request() {
  const Duration left = assignment_->deadline - net::now();
  if (left <= 0ms || !is_authorized()) {
    const auto reason = left <= 0ms ? NotWrittenReason::OutOfTime : NotWrittenReason::NotAllowed;
    net::log({"attempt_not_written",
              {{"endpoint", std::to_string(endpoint_)}, {"reason", name_of(reason)}}});
    end_assignment(response_with(AttemptStatus::NotSent), Disposition::Keep);
    return;
  }
  state_.start_writing();
  has_requested_confirmation_ = false;
  idle_time_before_request_ = idle_time(net::now());
  timer_.at(assignment_->deadline);
  if (assignment_->kind() == RequestKind::HealthCheck)
    stream_->write(protocol_->health_check_message());
  else
    stream_->write(protocol_->frame_request(assignment_->call->body(left)));
  if (stream_->all_written())
    flushed();
}

bool PooledConnection::is_authorized() {
  if (assignment_->attempt)
    return broker_.authorize_attempt(*assignment_->attempt);
  return broker_.authorize_health_check(endpoint_);
}

void PooledConnection::flushed() {
  state_.finish_writing();
}

void PooledConnection::received() {
  using State = ConnectionStateMachine::State;
  switch (state_.state()) {
  case State::AwaitingHandshake:
    read_handshake();
    return;
  case State::Writing:
  case State::ReceivingEarly:
  case State::AwaitingResponse:
  case State::ReceivingResponse:
    read_response();
    return;
  case State::Connecting:
  case State::Ready:
  case State::Idle:
    log_unsolicited_input();
    owner_.discard(*this);
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
    // Bytes behind the reply would be taken for the response to the first request.
    if (stream_->input().size() > 0) {
      log_unsolicited_input();
      fail(AttemptStatus::ConnectFailed);
      return;
    }
    become_ready();
    return;
  }
}

void PooledConnection::read_response() {
  const std::string_view input = stream_->input().view();
  const ParsedResponse parsed =
      protocol_->parse_response(input, assignment_->kind(), InputState::Open);
  if (parsed.status == ParsedResponse::Status::Incomplete && can_buffer_response(input.size())) {
    await_more_of_response();
    return;
  }
  if (parsed.status == ParsedResponse::Status::Unconfirmed && can_buffer_response(input.size())) {
    await_confirmation();
    return;
  }
  // The size limit applies to a complete response too, so that the result does not depend on the
  // number of reads in which the response arrived.
  const bool is_complete = parsed.status == ParsedResponse::Status::Complete;
  if (!is_complete || parsed.consumed_bytes > owner_.limits().max_response_bytes) {
    net::log({"malformed_response", {{"endpoint", std::to_string(endpoint_)}}});
    fail(AttemptStatus::Error);  // the endpoint has the request, so it may have run
    return;
  }
  if (parsed.response.status == AttemptStatus::Ok && !state_.is_request_written()) {
    net::log({"surplus_response", {{"endpoint", std::to_string(endpoint_)}}});
    fail(AttemptStatus::ConnectFailed);  // no endpoint serves a request before its last byte
    return;
  }
  if (parsed.surplus_responses > 0)
    net::log({"surplus_response", {{"endpoint", std::to_string(endpoint_)}}});
  // A connection is not reusable after a response to a request that was written only in part, or
  // with bytes before or behind the response.
  const bool is_reusable = state_.is_request_written() && parsed.surplus_responses == 0 &&
                           input.size() == parsed.consumed_bytes;
  end_assignment(parsed.response, is_reusable ? Disposition::Keep : Disposition::Close,
                 parsed.consumed_bytes);
}

bool PooledConnection::can_buffer_response(std::size_t input_size) const {
  const PoolLimits& limits = owner_.limits();
  if (input_size > limits.max_response_bytes)
    return false;
  return net::total_buffered_bytes() <= limits.max_buffered_bytes ||
         input_size <= kMaxSmallResponse;
}

// A response with a wrong length field never ends. A response that started and then stalls is
// therefore an error.
void PooledConnection::await_more_of_response() {
  state_.start_receiving();
  timer_.at(std::min(assignment_->deadline, net::now() + kMaxResponseGap));
}

// The response to the request may still be to come, so its time limit is that of a request that has
// no response yet.
void PooledConnection::await_confirmation() {
  timer_.at(assignment_->deadline);
  if (std::exchange(has_requested_confirmation_, true))
    return;
  stream_->write(protocol_->confirmation_message());
}

void PooledConnection::log_unsolicited_input() const {
  const Duration idle_time = state_.is_opening() ? 0ms : this->idle_time(net::now());
  net::log({"unsolicited_input",
            {{"endpoint", std::to_string(endpoint_)},
             {"idle_us", std::to_string(idle_time / std::chrono::microseconds(1))}}});
}

void PooledConnection::ended(const std::string&) {
  if (!assignment_) {
    owner_.discard(*this);
    return;
  }
  if (!state_.is_request_written()) {
    end_assignment(response_with(AttemptStatus::ConnectFailed), Disposition::Broken);
    return;
  }
  const ParsedResponse parsed =
      protocol_->parse_response(stream_->input().view(), assignment_->kind(), InputState::Ended);
  if (parsed.status == ParsedResponse::Status::Complete)
    end_assignment(parsed.response, Disposition::Close);
  else
    end_assignment(response_with(AttemptStatus::Reset), Disposition::Broken);
}

void PooledConnection::handle_timer() {
  if (!assignment_) {
    owner_.discard(*this);  // the connection was idle or being opened for too long
    return;
  }
  const bool is_past_deadline = net::now() >= assignment_->deadline;
  const auto deadline = is_past_deadline ? DeadlineState::Passed : DeadlineState::Pending;
  fail(state_.status_at_timeout(assignment_->kind(), deadline));
}

// A connection that is not kept is closed before the router learns of the end, as the router may
// start another attempt at once and two must not be in flight. One that is kept is idle when the
// batch ends, so that the next attempt finds it.
void PooledConnection::end_assignment(const proxy::UpstreamResponse& response,
                                      Disposition disposition, std::size_t consumed_bytes) {
  const std::optional<Assignment> assignment = std::exchange(assignment_, std::nullopt);
  record_reuse(disposition);
  timer_.stop();
  const proxy::RequestBroker::EventBatch batch(broker_);
  if (disposition != Disposition::Keep)
    stream_->close();
  if (assignment)
    owner_.complete_assignment(endpoint_, *assignment, response);
  if (disposition != Disposition::Keep) {
    owner_.discard(*this);
    return;
  }
  if (consumed_bytes > 0)
    stream_->input().consume(consumed_bytes);
  if (state_.is_opening())
    timer_.after(owner_.limits().connect_timeout);  // the opening continues, for a later assignment
  else
    become_idle();
}

void PooledConnection::record_reuse(Disposition disposition) {
  const Duration idle_time = std::exchange(idle_time_before_request_, 0ms);
  if (idle_time <= 0ms)
    return;
  const bool is_broken = disposition == Disposition::Broken && !state_.has_response_started();
  owner_.record_reuse(idle_time, is_broken ? ReuseOutcome::Broken : ReuseOutcome::Usable);
}

void PooledConnection::become_idle() {
  // The endpoint may have been removed or its address may have changed meanwhile.
  if (!owner_.is_current_address(endpoint_, address_)) {
    owner_.discard(*this);
    return;
  }
  state_.become_idle();
  idle_since_ = net::now();
  if (const auto limit = idle_time_limit(owner_.limits()))
    timer_.after(*limit);
  owner_.add_idle(*this);
}

}  // namespace gorsebeam::connection_pool
