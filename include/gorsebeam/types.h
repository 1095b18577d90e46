/// Identifiers and enumerations that settings, events and actions share.
#pragma once

#include "gorsebeam/time.h"

#include <cstdint>

namespace gorsebeam {

/// Identifies an endpoint: a data host as a primary or a replica of one group. The same at every
/// router, and kept over restarts of the host's process. The largest value is reserved.
using EndpointId = std::uint32_t;

/// Identifies a replica group: one primary and its replicas.
using GroupId = std::uint32_t;

/// Which data a request of a class may see, or that it writes.
enum class ConsistencyLevel {
  Eventual,          ///< Data of any age.
  BoundedStaleness,  ///< Data at most `RequestClass::max_staleness` old when the read is sent.
  Session,           ///< At least what the read's own session has written.
  Strong,            ///< Everything written before the read came in.
  Write,             ///< Not a read: only the primary executes it.
};

/// Whether a request may be executed more than once.
enum class Idempotency {
  Idempotent,      ///< Repeating it has no further effect.
  IdempotencyKey,  ///< Carries a key by which endpoints drop repeats, within a scope and a window.
  NotIdempotent,   ///< Never sent again once an attempt may have run.
};

/// Among which endpoints repeats of a request with an idempotency key are dropped.
enum class DeduplicationScope { All, Zone, Group };

/// What an endpoint does with a read that it is too far behind for.
enum class StalenessCheck {
  None,    ///< Answers from the data it has, however old.
  Reject,  ///< Turns the read away, unexecuted.
  Wait,    ///< Waits for the data for a bounded time, then turns the read away.
};

/// How the endpoint list names a group's primary.
enum class ListedRole {
  None,     ///< Not at all.
  AtStart,  ///< As it was when the system started.
  Delayed,  ///< Seconds after a change.
};

/// Who knows the last write of a session.
enum class SessionTokenSource {
  Client,  ///< Each session read says how long ago the session's last write was committed.
  Router,  ///< The router remembers the writes that went through it.
};

/// Where load reports come from.
enum class LoadReportSource { None, HealthChecks, Responses };

/// How the endpoint list arrives.
enum class DiscoveryMode { Push, Poll };

/// An endpoint's role in its group.
enum class Role { Unknown, Primary, Replica };

/// An endpoint's status in the endpoint list.
enum class EndpointStatus { Up, Draining, Removed };

/// How an attempt ended.
enum class AttemptStatus {
  Ok,             ///< Executed, and answered in full.
  Error,          ///< Answered with an error; may have run.
  Rejected,       ///< Turned away unexecuted: overloaded, draining, or past its deadline.
  Timeout,        ///< No answer in time; may have run, or may yet.
  ConnectFailed,  ///< No connection, or one that broke before the request was written; never ran.
  Reset,          ///< The connection broke after the request was written; may have run.
  Cancelled,      ///< Withdrawn; may have run.
  NotSent,        ///< Not written at all; never ran.
  Misdirected,    ///< Turned away unexecuted: a write at a replica, or a read it is too stale for.
};

/// Whether an attempt that ended with `status` may have taken effect although no response says so.
constexpr bool may_have_run(AttemptStatus status) {
  return status == AttemptStatus::Error || status == AttemptStatus::Timeout ||
         status == AttemptStatus::Reset || status == AttemptStatus::Cancelled;
}

}  // namespace gorsebeam
