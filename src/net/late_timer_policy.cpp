#include "late_timer_policy.h"

#include "loop_stall.h"

namespace gorsebeam::net {

TimerDecision LateTimerPolicy::decide(TimePoint due_at, TimePoint now) const {
  const bool is_late = due_at < now - kLoopStallThreshold;
  return is_late && !was_deferred(due_at) ? TimerDecision::Defer : TimerDecision::Fire;
}

std::optional<Duration> LateTimerPolicy::lateness_to_log(TimePoint first_due_at,
                                                         TimePoint now) const {
  const Duration lateness = now - first_due_at;
  if (lateness <= kSlowIterationThreshold || was_deferred(first_due_at))
    return std::nullopt;
  return lateness;
}

}  // namespace gorsebeam::net
