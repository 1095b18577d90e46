#include "connection_state_machine.h"

namespace gorsebeam::connection_pool {

void ConnectionStateMachine::finish_writing() {
  if (state_ == State::Writing)
    state_ = State::AwaitingResponse;
  else if (state_ == State::ReceivingEarly)
    state_ = State::ReceivingResponse;
}

void ConnectionStateMachine::start_receiving() {
  if (state_ == State::Writing)
    state_ = State::ReceivingEarly;
  else if (state_ == State::AwaitingResponse)
    state_ = State::ReceivingResponse;
}

bool ConnectionStateMachine::is_opening() const {
  return state_ == State::Connecting || state_ == State::AwaitingHandshake;
}

bool ConnectionStateMachine::is_writing() const {
  return state_ == State::Writing || state_ == State::ReceivingEarly;
}

bool ConnectionStateMachine::is_request_written() const {
  return state_ == State::AwaitingResponse || state_ == State::ReceivingResponse;
}

bool ConnectionStateMachine::has_response_started() const {
  return state_ == State::ReceivingEarly || state_ == State::ReceivingResponse;
}

AttemptStatus ConnectionStateMachine::status_at_timeout(RequestKind kind,
                                                        DeadlineState deadline) const {
  if (is_request_written()) {
    const bool has_stalled = has_response_started() && deadline == DeadlineState::Pending;
    return has_stalled ? AttemptStatus::Error : AttemptStatus::Timeout;
  }
  // The request was not written as a whole, so it never ran. That a connection was not open by the
  // deadline of a client's request says nothing about the endpoint.
  const bool is_fault_of_endpoint =
      is_writing() || deadline == DeadlineState::Pending || kind == RequestKind::HealthCheck;
  return is_fault_of_endpoint ? AttemptStatus::ConnectFailed : AttemptStatus::NotSent;
}

}  // namespace gorsebeam::connection_pool
