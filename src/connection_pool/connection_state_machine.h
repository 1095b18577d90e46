/// The states of a connection to an endpoint and the transitions between them.
///
/// The state machine performs no I/O; `PooledConnection` does. The transitions are:
///
///     Connecting        -> AwaitingHandshake, or Ready for a protocol without a handshake
///     AwaitingHandshake -> Ready
///     Ready             -> Writing, or Idle if nothing is to be written
///     Writing           -> AwaitingResponse, or ReceivingEarly
///     ReceivingEarly    -> ReceivingResponse
///     AwaitingResponse  -> ReceivingResponse, or Idle once the response is complete
///     ReceivingResponse -> Idle once the response is complete
///     Idle              -> Ready
///
/// A connection can be closed in every state; its `net::Stream` holds whether it is open.
#pragma once

#include "upstream_protocol.h"

namespace gorsebeam::connection_pool {

/// Whether the deadline of an assignment has passed.
enum class DeadlineState { Pending, Passed };

class ConnectionStateMachine {
public:
  enum class State {
    Connecting,         ///< The TCP connection is being established.
    AwaitingHandshake,  ///< The handshake message is written; the endpoint's response is awaited.
    Ready,              ///< A request can be written; none is authorized yet.
    Idle,               ///< In the pool's list of idle connections.
    Writing,            ///< A request or health check is written in part.
    ReceivingEarly,     ///< As `Writing`, but a part of a response has arrived.
    AwaitingResponse,   ///< The request is written; nothing of its response has arrived.
    ReceivingResponse,  ///< The request is written; a part of its response has arrived.
  };

  [[nodiscard]] State state() const { return state_; }

  /// From Connecting: the connection is established and the handshake message is written.
  void start_handshake() { state_ = State::AwaitingHandshake; }

  /// From Connecting, AwaitingHandshake and Idle: a request can be written.
  void become_ready() { state_ = State::Ready; }

  /// From Ready, AwaitingResponse and ReceivingResponse: the connection has no assignment any more.
  void become_idle() { state_ = State::Idle; }

  /// From Ready: the request is authorized.
  void start_writing() { state_ = State::Writing; }

  /// The kernel accepted all that was written. Ignored unless a request is being written.
  void finish_writing();

  /// From Writing and AwaitingResponse: an incomplete response has arrived. Ignored in
  /// ReceivingEarly and ReceivingResponse.
  void start_receiving();

  /// Whether the connection is not yet ready for a request.
  [[nodiscard]] bool is_opening() const;

  /// Whether a request is written in part.
  [[nodiscard]] bool is_writing() const;

  /// Whether a request is written as a whole and its response is not complete.
  [[nodiscard]] bool is_request_written() const;

  /// Whether a request is written, as a whole or in part, and its response is not complete.
  [[nodiscard]] bool is_awaiting_response() const { return is_writing() || is_request_written(); }

  /// Whether a part of a response has arrived.
  [[nodiscard]] bool has_response_started() const;

  /// The status with which an assignment of `kind` ends if its timer expires in this state.
  [[nodiscard]] AttemptStatus status_at_timeout(RequestKind kind, DeadlineState deadline) const;

private:
  State state_ = State::Connecting;
};

}  // namespace gorsebeam::connection_pool
