#include "router/dispatcher.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace gorsebeam::router {

void Dispatcher::accept(PendingRequest& request) {
  accrue_budgets(request);
  if (rejections_.reject_over_rate_limit(request))
    return;
  const RequestClass& request_class = state_.class_of(request);
  if (request_class.consistency != ConsistencyLevel::Write)
    state_.health_checks.refresh_group(state_.group_of(request), request_class);
  dispatch(request);
}

void Dispatcher::accrue_budgets(const PendingRequest& request) {
  retries_.accrue_hedge_budget();
  const RequestClass& request_class = state_.class_of(request);
  const bool is_bounded = request_class.consistency == ConsistencyLevel::BoundedStaleness;
  ReplicaGroup& group = state_.group_of(request);
  if (is_bounded) {
    const TimePoint now = state_.event.now;
    const TimePoint previous = std::exchange(group.last_bounded_read_at, now);
    group.sparse_bounded_reads = previous < now - request_class.max_staleness;
  }
  const bool needs_current_data =
      is_bounded || request_class.consistency == ConsistencyLevel::Session;
  state_.health_checks.accrue_budget(group.sparse_bounded_reads && needs_current_data,
                                     admission_.saturation(Role::Primary));
}

void Dispatcher::dispatch(PendingRequest& request) {
  const TimePoint now = state_.event.now;
  if (request.is_closed)
    return;
  if (now < request.retry_not_before && now < request.give_up_at) {
    request.waits_for = WaitReason::RetryBackoff;
    return;
  }
  if (request.in_flight > 0) {
    hedge(request);
    return;
  }
  if (const auto reason = rejections_.reason_to_give_up(request)) {
    rejections_.give_up(request, *reason);
    return;
  }
  request.waits_for = WaitReason::Nothing;
  const ConsistencyLevel level = state_.class_of(request).consistency;
  if (level == ConsistencyLevel::Write || level == ConsistencyLevel::Strong)
    send_to_primary(request);
  else
    read_from_replica(request);
}

void Dispatcher::read_from_replica(PendingRequest& request) {
  const auto recovery = selector_.choose_recovery_attempt(request, RecoveryChoice::ByHashShare);
  if (recovery && starter_.start(request, *recovery, AttemptKind::Recovery))
    return;
  const auto replica = selector_.choose_replica(request);
  if (replica && starter_.start(request, *replica, AttemptKind::Normal))
    return;
  const auto fallback = selector_.choose_recovery_attempt(request, RecoveryChoice::Fallback);
  if (fallback && starter_.start(request, *fallback, AttemptKind::Recovery))
    return;
  await_current_replica(request);
}

void Dispatcher::hedge(PendingRequest& request) {
  const HedgeDecision decision = retries_.decide_hedge(request);
  if (decision == HedgeDecision::None)
    return;
  const auto replica = selector_.choose_replica(request);
  if (!replica || !starter_.start(request, *replica, AttemptKind::Normal))
    return;
  if (decision == HedgeDecision::Budgeted)
    retries_.spend_hedge_budget();
  request.is_hedged = true;
}

// Called for a read for which no replica is admitted. The read waits while a position may arrive
// that proves a replica current. It goes to the primary if none may arrive, or once a longer wait
// would miss its latency objective.
void Dispatcher::await_current_replica(PendingRequest& request) {
  if (request.waits_for == WaitReason::Nothing)
    request.waits_for = WaitReason::CurrentReplica;
  const bool position_may_arrive = positions_.request_positions(request);
  const Duration work = to_duration(2 * state_.typical_latency(request));
  if (position_may_arrive && state_.event.now < request.objective_at - work)
    return;
  const ReplicaGroup& group = state_.group_of(request);
  if (!group.primary || group.primary_suspected || selector_.was_attempted(request, *group.primary))
    return;
  start_at_primary(request, *group.primary);
}

void Dispatcher::send_to_primary(PendingRequest& request) {
  const ReplicaGroup& group = state_.group_of(request);
  const bool has_primary =
      group.primary && !group.primary_suspected && state_.endpoints.at(*group.primary).is_usable();
  if (has_primary)
    start_at_primary(request, *group.primary);
  else if (rejections_.cannot_find_primary_in_time(request, group))
    rejections_.give_up(request, AnswerReason::NoPrimary);
  else
    discover_primary(request);
}

void Dispatcher::discover_primary(PendingRequest& request) {
  request.waits_for = WaitReason::Primary;
  discovery_.discover_for(request);
}

void Dispatcher::start_at_primary(PendingRequest& request, EndpointId primary) {
  if (admission_.admits_under_load(state_.endpoints.at(primary), request))
    starter_.start(request, primary, AttemptKind::Normal);
  else
    request.waits_for = WaitReason::Load;
}

// Dispatches in order of descending value per work, so that under overload the requests of the
// lowest value keep waiting.
void Dispatcher::dispatch_waiting(GroupId id) {
  ReplicaGroup& group = state_.endpoints.group(id);
  if (state_.event.now - group.last_dispatch_at < kRequestCheckInterval / 2)
    return;
  group.last_dispatch_at = state_.event.now;
  std::vector<PendingRequest*> waiting;
  waiting.reserve(group.waiting.size());
  for (const std::uint64_t sequence : group.waiting)
    waiting.push_back(&state_.requests.at(sequence));
  const auto has_higher_value = [this](const PendingRequest* a, const PendingRequest* b) {
    return admission_.value_per_work(*a) > admission_.value_per_work(*b);
  };
  std::stable_sort(waiting.begin(), waiting.end(), has_higher_value);
  for (PendingRequest* request : waiting) {
    dispatch(*request);
    scheduler_.finish_or_reschedule(*request);
  }
}

}  // namespace gorsebeam::router
