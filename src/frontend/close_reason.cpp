#include "close_reason.h"

namespace gorsebeam::frontend {

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

const char* text_of(RejectReason reason) {
  switch (reason) {
  case RejectReason::NothingSent:
    return "nothing was said";
  case RejectReason::IncompleteMessage:
    return "a message did not end";
  case RejectReason::ResponseNotRead:
    return "an answer was not taken";
  case RejectReason::TooManyConnections:
    return "too many connections";
  case RejectReason::MemoryLimitExceeded:
    return "memory is short";
  }
  return "unknown";
}

}  // namespace gorsebeam::frontend
