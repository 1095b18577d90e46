#include "router/rejection_policy.h"

namespace gorsebeam::router {
namespace {

// A primary that hands over its role, rather than failing, has a successor within this time.
constexpr Duration kHandoverTime = 1000ms;

}  // namespace

bool RejectionPolicy::reject_over_rate_limit(PendingRequest& request) const {
  const Duration retry_after = request.request.rate_limit_retry_after;
  if (retry_after <= 0ms)
    return false;
  close(request, AnswerReason::RateLimit, retry_after);
  return true;
}

std::optional<AnswerReason>
RejectionPolicy::reason_to_give_up(const PendingRequest& request) const {
  if (state_.event.now >= request.give_up_at)
    return AnswerReason::OutOfTime;
  if (!retries_.has_attempts_left(request))
    return AnswerReason::AttemptsUsed;
  if (!retries_.is_safe_to_retry(request))
    return AnswerReason::UnsafeToRetry;
  return std::nullopt;
}

// An election lasts seconds. A request that was not sent in the first half of the time until its
// deadline is rejected while its client still has time to retry. A primary that is only suspected
// may answer at any time, so requests wait for it.
bool RejectionPolicy::cannot_find_primary_in_time(const PendingRequest& request,
                                                  const ReplicaGroup& group) const {
  if (!request.attempts.empty() || group.primary || group.primary_evidence_at == kUnknownTime)
    return false;
  const TimePoint now = state_.event.now;
  const Duration max_wait =
      request.request.deadline - request.arrived_at - 4 * kRequestCheckInterval;
  const bool half_has_passed = 2 * (now - request.arrived_at) >= max_wait;
  return half_has_passed && group.primary_evidence_at < now - kHandoverTime;
}

void RejectionPolicy::give_up(PendingRequest& request, AnswerReason reason) const {
  const bool advise = state_.settings.retry_after_allowed;
  close(request, reason, advise ? state_.settings.max_retry_after : 0ms);
}

// A rejection promises the client that the request is safe to send again.
bool RejectionPolicy::can_reject(const PendingRequest& request) const {
  const RequestClass& request_class = state_.class_of(request);
  if (request_class.idempotency == Idempotency::Idempotent ||
      request.may_have_run_at == kUnknownTime)
    return true;
  return request_class.idempotency == Idempotency::IdempotencyKey &&
         request_class.deduplication_scope == DeduplicationScope::All;
}

void RejectionPolicy::close(PendingRequest& request, AnswerReason reason,
                            Duration retry_after) const {
  if (request.is_closed || request.in_flight > 0)
    return;
  request.is_closed = true;
  if (can_reject(request))
    state_.event.emit(RejectRequest{request.request.id, retry_after, reason, request.waits_for});
  else
    state_.event.emit(FailRequest{request.request.id, reason, request.waits_for});
}

}  // namespace gorsebeam::router
