/// Actions that a router asks the embedding program to perform, in order.
#pragma once

#include "gorsebeam/log_messages.h"
#include "gorsebeam/types.h"

#include <cstdint>
#include <string>
#include <variant>

namespace gorsebeam {

/// Sends the request to an endpoint. The attempts of a request are numbered from 0 in the order of
/// these actions. Each ends in one AttemptResult.
struct StartAttempt {
  std::string request_id;
  EndpointId endpoint = 0;
  Duration timeout{};  ///< From now to the request's deadline.
};

/// Checks an endpoint; ends in one HealthCheckResult.
struct SendHealthCheck {
  EndpointId endpoint = 0;
};

/// Withdraws an attempt that is still in flight.
struct CancelAttempt {
  std::string request_id;
  std::uint32_t attempt = 0;
};

/// Why the router itself gives a request its final answer.
enum class AnswerReason {
  RateLimit,      ///< Its team is over its rate limit.
  OutOfTime,      ///< No further attempt could be answered in time.
  AttemptsUsed,   ///< It has had all attempts that it may have.
  UnsafeToRetry,  ///< An attempt may have run, and its class allows no other.
  NoPrimary,      ///< Its group still has no known primary after half of its time.
};

/// What a request without an attempt in flight last waited for.
enum class WaitReason {
  Nothing,         ///< It did not wait.
  SlowStart,       ///< The endpoint that it may go to is in slow start and did not admit it.
  Load,            ///< The load of the endpoints that it may go to did not admit it.
  CurrentReplica,  ///< No replica was known to be current, or none was left.
  Primary,         ///< Its group had no known primary.
  RetryBackoff,    ///< The primary rejected its last attempt a short time ago.
};

/// The final answer to a request: rejected, and safe to send again.
struct RejectRequest {
  std::string request_id;
  Duration retry_after{};  ///< 0: none is advised.
  AnswerReason reason = AnswerReason::OutOfTime;
  WaitReason waited_for = WaitReason::Nothing;
};

/// The final answer to a request: failed, with no promise about its effect.
struct FailRequest {
  std::string request_id;
  AnswerReason reason = AnswerReason::OutOfTime;
  WaitReason waited_for = WaitReason::Nothing;
};

/// Requests a TimerExpired event at the time `at`. Replaces the timer that was set before.
struct SetTimer {
  TimePoint at{};
};

/// Asks discovery for the endpoint list. Emitted only where the list is polled
/// (`DiscoveryMode::Poll`): the program starts one poll for each of these actions. Where discovery
/// pushes changes, the program itself keeps a watch on the list at all times, as the gateway does.
struct WatchEndpoints {};

using Action = std::variant<StartAttempt, SendHealthCheck, CancelAttempt, RejectRequest,
                            FailRequest, SetTimer, WatchEndpoints, LogMessage>;

}  // namespace gorsebeam
