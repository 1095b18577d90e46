/// Why the gateway ends a client connection, and what it sends to the client in that case.
#pragma once

namespace gorsebeam::frontend {

/// Why a client connection ends.
enum class CloseReason {
  PeerClosed,   ///< The client closed or reset it.
  ClientEnded,  ///< The client ended it in its protocol.
  ErrorSent,    ///< The gateway rejected it or a message on it, and sent the error.
  Idle,         ///< It was idle while too many connections were open.
  Evicted,      ///< It was idle, and a new connection needed the capacity.
  Shutdown,     ///< The gateway is stopping.
  Overdue,      ///< The gateway rejected it; no error was sent, as earlier output was unread.
  Exception,    ///< An exception, which is a defect in the gateway.
};

/// The reason as the log event `client_closed` names it.
[[nodiscard]] const char* name_of(CloseReason reason);

/// Why the gateway rejects a connection that has not broken the protocol.
enum class RejectReason {
  NothingSent,          ///< The client has not sent a message in time.
  IncompleteMessage,    ///< The client has not completed a message in time.
  ResponseNotRead,      ///< The client has not read a response in time.
  TooManyConnections,   ///< The connection is beyond the limit.
  MemoryLimitExceeded,  ///< Its buffers are the largest, and all together exceed the limit.
};

/// The error text that is sent to the client.
[[nodiscard]] const char* text_of(RejectReason reason);

}  // namespace gorsebeam::frontend
