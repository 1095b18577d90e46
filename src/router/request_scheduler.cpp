#include "router/request_scheduler.h"

#include <algorithm>

namespace gorsebeam::router {

void RequestScheduler::finish_or_reschedule(PendingRequest& request) {
  const GroupId group_id = request.request.group;
  ReplicaGroup& group = state_.endpoints.group(group_id);
  state_.timers.cancel(request);
  group.waiting.erase(request.sequence);
  if (request.is_closed && request.in_flight == 0) {
    state_.requests.remove(request);
    state_.endpoints.forget_group_if_unused(group_id);
    return;
  }
  if (!request.is_closed && request.in_flight == 0)
    group.waiting.insert(request.sequence);
  state_.timers.schedule(request, next_check(request));
}

TimePoint RequestScheduler::next_check(const PendingRequest& request) {
  const TimePoint now = state_.event.now;
  const TimePoint periodic_check = state_.timers.next_periodic_check(now);
  const bool is_idempotent = state_.class_of(request).idempotency == Idempotency::Idempotent;
  const bool can_hedge = !request.is_closed && !request.is_hedged && is_idempotent;
  TimePoint check_at = request.in_flight == 0 ? periodic_check : kNever;
  for (const UpstreamAttempt& attempt : request.attempts) {
    if (!attempt.in_flight || (attempt.is_overdue && !can_hedge))
      continue;
    const TimePoint overdue_at =
        attempt.sent_at + retries_.overdue_after(request, attempt.endpoint);
    const TimePoint earliest = now + state_.settings.clock_resolution;
    const TimePoint at = attempt.is_overdue ? periodic_check : std::max(overdue_at, earliest);
    check_at = std::min(check_at, at);
  }
  return check_at;
}

}  // namespace gorsebeam::router
