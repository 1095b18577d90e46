/// Identifiers and enumerations that settings, events and actions share.
#pragma once

#include "gorsebeam/time.h"

#include <cstdint>

namespace gorsebeam {

/// Identifies an endpoint: a database host that is a primary or a replica of one group. The id is
/// the same at every router and survives restarts of the host's process. The largest value is
/// reserved.
using EndpointId = std::uint32_t;

/// Identifies a replica group: one primary and its replicas.
using GroupId = std::uint32_t;

/// Which data the reads of a class must see, or that the class consists of writes.
enum class ConsistencyLevel {
  Eventual,          ///< Data of any age.
  BoundedStaleness,  ///< Data at most `RequestClass::max_staleness` old when the read is sent.
  Session,           ///< At least what the read's own session has written.
  Strong,            ///< Everything written before the read arrived.
  Write,             ///< Not a read: only the primary executes it.
};

/// Whether a request may be executed more than once.
enum class Idempotency {
  Idempotent,      ///< Repeating it has no further effect.
  IdempotencyKey,  ///< Has a key by which endpoints drop repeats, within a scope and a window.
  NotIdempotent,   ///< Never sent again once an attempt may have run.
};

/// Among which endpoints repeats of a request with an idempotency key are dropped.
enum class DeduplicationScope { All, Zone, Group };

/// What an endpoint does with a read that it is too far behind for.
enum class StalenessCheck {
  None,    ///< Answers from the data it has, however old.
  Reject,  ///< Refuses the read without executing it.
  Wait,    ///< Waits for the data for a bounded time, then refuses the read.
};

/// Which primary of a group the endpoint list names.
enum class ListedRole {
  None,     ///< It names no primary.
  AtStart,  ///< The primary at the start of the system, even after a change.
  Delayed,  ///< The present primary, but a change is listed seconds later.
};

/// Who knows the last write of a session.
enum class SessionTokenSource {
  Client,  ///< Each session read names the position of the session's last commit.
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
  Rejected,       ///< Refused, never ran: overloaded, draining, or past its deadline.
  Timeout,        ///< No answer in time; may have run, or may still run.
  ConnectFailed,  ///< No connection, or one that broke before the request was written; never ran.
  Reset,          ///< The connection broke after the request was written; may have run.
  Cancelled,      ///< Withdrawn before its answer; may have run.
  NotSent,        ///< Not written at all; never ran.
  Misdirected,    ///< Refused, never ran: a write at a replica, or a read it is too stale for.
};

/// Whether an attempt that ended with `status` may have taken effect without a response that
/// confirms it.
constexpr bool may_have_run(AttemptStatus status) {
  return status == AttemptStatus::Error || status == AttemptStatus::Timeout ||
         status == AttemptStatus::Reset || status == AttemptStatus::Cancelled;
}

}  // namespace gorsebeam
