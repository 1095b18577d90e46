// Tests the states of a connection to an endpoint, and how an assignment ends when its timer
// expires.
#include "connection_pool/connection_state_machine.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

using namespace gorsebeam;
using namespace gorsebeam::connection_pool;

namespace {

using State = ConnectionStateMachine::State;

/// A state machine that reached `state` by its transitions.
ConnectionStateMachine machine_in(State state) {
  ConnectionStateMachine machine;
  if (state == State::Connecting)
    return machine;
  machine.start_handshake();
  if (state == State::AwaitingHandshake)
    return machine;
  machine.become_ready();
  if (state == State::Ready)
    return machine;
  if (state == State::Idle) {
    machine.become_idle();
    return machine;
  }
  machine.start_writing();
  if (state == State::ReceivingEarly || state == State::ReceivingResponse)
    machine.start_receiving();
  if (state == State::AwaitingResponse || state == State::ReceivingResponse)
    machine.finish_writing();
  return machine;
}

TEST(ConnectionStateMachine, ReportsInEachStateWhatIsWrittenAndReceived) {
  struct Case {
    State state;
    bool is_opening;
    bool is_writing;
    bool is_request_written;
    bool has_response_started;
  };

  constexpr std::array<Case, 8> kCases{{
      {State::Connecting, true, false, false, false},
      {State::AwaitingHandshake, true, false, false, false},
      {State::Ready, false, false, false, false},
      {State::Idle, false, false, false, false},
      {State::Writing, false, true, false, false},
      {State::ReceivingEarly, false, true, false, true},
      {State::AwaitingResponse, false, false, true, false},
      {State::ReceivingResponse, false, false, true, true},
  }};
  for (const Case& expected : kCases) {
    SCOPED_TRACE("state " + std::to_string(static_cast<int>(expected.state)));
    const ConnectionStateMachine machine = machine_in(expected.state);
    EXPECT_EQ(machine.state(), expected.state);
    EXPECT_EQ(machine.is_opening(), expected.is_opening);
    EXPECT_EQ(machine.is_writing(), expected.is_writing);
    EXPECT_EQ(machine.is_request_written(), expected.is_request_written);
    EXPECT_EQ(machine.is_awaiting_response(), expected.is_writing || expected.is_request_written);
    EXPECT_EQ(machine.has_response_started(), expected.has_response_started);
  }
}

TEST(ConnectionStateMachine, IgnoresWritesThatAreNotOfARequest) {
  for (const State state : {State::Connecting, State::AwaitingHandshake, State::Ready, State::Idle,
                            State::AwaitingResponse, State::ReceivingResponse}) {
    ConnectionStateMachine machine = machine_in(state);
    machine.finish_writing();
    EXPECT_EQ(machine.state(), state);
  }
}

TEST(ConnectionStateMachine, CanWriteTheNextRequestAfterAResponse) {
  ConnectionStateMachine machine = machine_in(State::ReceivingResponse);
  machine.become_idle();
  machine.become_ready();
  machine.start_writing();
  EXPECT_EQ(machine.state(), State::Writing);
  EXPECT_FALSE(machine.has_response_started());
}

TEST(ConnectionStateMachine, EndsAnAssignmentAtATimeoutByItsProgress) {
  struct Case {
    State state;
    RequestKind kind;
    DeadlineState deadline;
    AttemptStatus status;
  };

  constexpr auto kRequest = RequestKind::ClientRequest;
  constexpr auto kCheck = RequestKind::HealthCheck;
  constexpr auto kPending = DeadlineState::Pending;
  constexpr auto kPassed = DeadlineState::Passed;
  constexpr std::array<Case, 10> kCases{{
      {State::Connecting, kRequest, kPending, AttemptStatus::ConnectFailed},
      {State::Connecting, kRequest, kPassed, AttemptStatus::NotSent},
      {State::Connecting, kCheck, kPassed, AttemptStatus::ConnectFailed},
      {State::AwaitingHandshake, kRequest, kPassed, AttemptStatus::NotSent},
      {State::Writing, kRequest, kPassed, AttemptStatus::ConnectFailed},
      {State::ReceivingEarly, kRequest, kPending, AttemptStatus::ConnectFailed},
      {State::AwaitingResponse, kRequest, kPassed, AttemptStatus::Timeout},
      {State::AwaitingResponse, kRequest, kPending, AttemptStatus::Timeout},
      {State::ReceivingResponse, kRequest, kPending, AttemptStatus::Error},
      {State::ReceivingResponse, kCheck, kPassed, AttemptStatus::Timeout},
  }};
  for (const Case& expected : kCases) {
    const ConnectionStateMachine machine = machine_in(expected.state);
    EXPECT_EQ(machine.status_at_timeout(expected.kind, expected.deadline), expected.status)
        << "state " << static_cast<int>(expected.state) << ", request kind "
        << static_cast<int>(expected.kind) << ", deadline state "
        << static_cast<int>(expected.deadline);
  }
}

}  // namespace
