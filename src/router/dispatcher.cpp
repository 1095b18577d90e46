#include "router/dispatcher.h"

#include "router/replication_positions.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace gorsebeam::router {
namespace {

// Health checks beyond the budget, by a read of a group without a primary: the group's endpoints.
constexpr int kExtraHealthChecks = 4;

// The shortest time between two writes sent to find a group's primary.
constexpr Duration kDiscoveryGap = kHealthCheckGap;

}  // namespace

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
  const bool needs_proof = is_bounded || request_class.consistency == ConsistencyLevel::Session;
  state_.health_checks.accrue_budget(group.sparse_bounded_reads && needs_proof,
                                     admission_.saturation(Role::Primary));
}

void Dispatcher::dispatch(PendingRequest& request) {
  const TimePoint now = state_.event.now;
  if (request.is_closed || (now < request.retry_not_before && now < request.give_up_at))
    return;
  if (request.in_flight > 0) {
    hedge(request);
    return;
  }
  if (const auto reason = rejections_.reason_to_give_up(request)) {
    rejections_.give_up(request, *reason);
    return;
  }
  const ConsistencyLevel level = state_.class_of(request).consistency;
  if (level == ConsistencyLevel::Write || level == ConsistencyLevel::Strong)
    send_to_primary(request);
  else
    read_from_replica(request);
}

void Dispatcher::read_from_replica(PendingRequest& request) {
  const auto recovery = selector_.choose_recovery_attempt(request, RecoveryChoice::ByHashShare);
  if (recovery && start_attempt(request, *recovery, AttemptKind::Recovery))
    return;
  const auto replica = selector_.choose_replica(request);
  if (replica && start_attempt(request, *replica, AttemptKind::Normal))
    return;
  const auto fallback = selector_.choose_recovery_attempt(request, RecoveryChoice::Fallback);
  if (fallback && start_attempt(request, *fallback, AttemptKind::Recovery))
    return;
  await_current_replica(request);
}

void Dispatcher::hedge(PendingRequest& request) {
  const HedgeDecision decision = retries_.decide_hedge(request);
  if (decision == HedgeDecision::None)
    return;
  const auto replica = selector_.choose_replica(request);
  if (!replica || !start_attempt(request, *replica, AttemptKind::Normal))
    return;
  if (decision == HedgeDecision::Budgeted)
    retries_.spend_hedge_budget();
  request.is_hedged = true;
}

// No replica is admitted: the read waits while health checks ask for positions, and goes to the
// primary once waiting longer would miss the latency objective.
void Dispatcher::await_current_replica(PendingRequest& request) {
  const bool position_may_arrive = request_positions(request);
  const Duration work = to_duration(2 * state_.typical_latency(request));
  if (position_may_arrive && state_.event.now < request.objective_at - work)
    return;
  const ReplicaGroup& group = state_.group_of(request);
  if (!group.primary || group.primary_suspected || selector_.was_attempted(request, *group.primary))
    return;
  if (admission_.admits_under_load(state_.endpoints.at(*group.primary), request))
    start_attempt(request, *group.primary, AttemptKind::Normal);
}

// Returns whether a replica may be proven current before the read must go to the primary.
//
// Reads of a group without a primary must not wait for the next write to find it, which with many
// routers takes seconds: each such read checks a group's endpoints once, beyond the budget, as a
// health check costs less than a read is worth.
//
// Deviates from the base design where bounded reads of a group come further apart than a proof
// holds, as with many routers: one endpoint is checked at a time, and waited for, as old is not
// behind. Costs latency where several replicas lag.
bool Dispatcher::request_positions(const PendingRequest& request) {
  const ReplicaGroup& group = state_.group_of(request);
  const bool lacks_primary = !group.primary || group.primary_suspected;
  const bool is_first_dispatch = state_.event.now == request.arrived_at;
  int extra = is_first_dispatch && lacks_primary ? kExtraHealthChecks : 0;
  const bool one_at_a_time = group.sparse_bounded_reads && extra == 0;
  bool waits_for_check = one_at_a_time && is_position_requested(group);
  bool position_may_arrive = false;
  const std::vector<EndpointId>& ids = group.endpoints;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const EndpointId id = ids[(i + request.draw) % ids.size()];
    EndpointState& endpoint = state_.endpoints.at(id);
    const bool is_primary = group.primary == id;
    if (!endpoint.is_usable() || (is_primary && !group.primary_suspected))
      continue;
    const auto budget = extra > 0 ? HealthCheckBudget::Exempt : HealthCheckBudget::Limited;
    if (!waits_for_check && state_.health_checks.check(endpoint, kHealthCheckGap, budget)) {
      waits_for_check = one_at_a_time;
      extra = std::max(0, extra - 1);
    }
    if (!is_primary && !selector_.was_attempted(request, id))
      position_may_arrive |= can_catch_up(endpoint, request);
  }
  return position_may_arrive || waits_for_check;
}

bool Dispatcher::can_catch_up(const EndpointState& endpoint, const PendingRequest& request) const {
  if (endpoint.position == kUnknownPosition)
    return false;
  if (endpoint.is_ejected)
    return !endpoint.needs_recovery_attempt;
  const TimePoint now = state_.event.now;
  const ReplicationPosition required = required_position(state_.class_of(request), request, now);
  // Behind by more than the time left, it does not catch up before the latency objective.
  return required != kUnknownPosition &&
         required < endpoint.position + (request.objective_at - now);
}

bool Dispatcher::is_position_requested(const ReplicaGroup& group) const {
  const TimePoint now = state_.event.now;
  const auto is_being_checked = [this, now](EndpointId id) {
    const EndpointState& endpoint = state_.endpoints.at(id);
    return endpoint.has_health_check && now - endpoint.last_health_check_at < 2 * kSweepInterval;
  };
  return std::any_of(group.endpoints.begin(), group.endpoints.end(), is_being_checked);
}

void Dispatcher::send_to_primary(PendingRequest& request) {
  const ReplicaGroup& group = state_.group_of(request);
  if (!group.primary || group.primary_suspected ||
      !state_.endpoints.at(*group.primary).is_usable()) {
    discover_primary(request);
    return;
  }
  if (admission_.admits_under_load(state_.endpoints.at(*group.primary), request))
    start_attempt(request, *group.primary, AttemptKind::Normal);
}

// Deviates from the base design while a group has no primary that answers. Where health checks
// report roles, they ask for them; else one waiting write at a time is sent to the replicas, the
// most advanced first: a wrong one turns it away unexecuted. Costs those attempts.
void Dispatcher::discover_primary(PendingRequest& request) {
  ReplicaGroup& group = state_.group_of(request);
  if (rejections_.cannot_find_primary_in_time(request, group)) {
    rejections_.give_up(request, AnswerReason::NoPrimary);
    return;
  }
  const bool reports_hold_roles = state_.settings.load_reports_hold_roles;
  for (const EndpointId id : group.endpoints) {
    EndpointState& endpoint = state_.endpoints.at(id);
    if (reports_hold_roles || endpoint.is_ejected)
      state_.health_checks.check(endpoint, 2 * kHealthCheckGap, HealthCheckBudget::Exempt);
  }
  const TimePoint now = state_.event.now;
  const bool reports_may_tell =
      reports_hold_roles && state_.settings.load_report_source != LoadReportSource::None;
  if (reports_may_tell && now - request.arrived_at < kHealthCheckGap)
    return;
  if (now - kDiscoveryGap < group.last_discovery_at)
    return;
  std::optional<EndpointId> best;
  for (const EndpointId id : group.endpoints) {
    EndpointState& endpoint = state_.endpoints.at(id);
    if (!can_try_discovery(request, endpoint))
      continue;
    if (!best || endpoint.position > state_.endpoints.at(*best).position)
      best = id;
  }
  if (!best)
    return;
  group.last_discovery_at = now;
  start_attempt(request, *best, AttemptKind::Normal);
}

bool Dispatcher::can_try_discovery(const PendingRequest& request, EndpointState& endpoint) {
  const ReplicaGroup& group = state_.group_of(request);
  const TimePoint now = state_.event.now;
  const EndpointId id = endpoint.listing.id;
  const bool is_primary = group.primary == id;
  // After an attempt an endpoint may have the request again if it has shown since that it is the
  // primary: it may have broken one connection and live on, and then no other would ever take the
  // write.
  const bool has_evidence_since_attempt =
      is_primary && !request.attempts.empty() &&
      group.primary_evidence_at > request.attempts.back().sent_at;
  // One that shows itself by health checks, where answers are quick, loses some answers: the
  // backoff, which doubles, would keep writes from it for seconds. One that hangs shows nothing;
  // where all are slow, it may be overloaded.
  const bool has_recent_evidence = is_primary &&
                                   endpoint.position_reported_at > now - 4 * kHealthCheckGap &&
                                   !admission_.is_pool_overloaded(endpoint);
  if (!endpoint.is_usable())
    return false;
  if (endpoint.is_ejected && now < endpoint.next_recovery_at && !has_recent_evidence)
    return false;
  return has_evidence_since_attempt || !selector_.was_attempted(request, id);
}

// What waits in a group goes in order of value for its work: in overload the least is left over.
void Dispatcher::dispatch_waiting(GroupId id) {
  ReplicaGroup& group = state_.endpoints.group(id);
  if (state_.event.now - group.last_dispatch_at < kSweepInterval / 2)
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
    scheduler_.finish_or_rearm(*request);
  }
}

bool Dispatcher::start_attempt(PendingRequest& request, EndpointId id, AttemptKind kind) {
  EndpointState* endpoint = state_.endpoints.find(id);
  if (endpoint == nullptr || !retries_.can_start_attempt(request, *endpoint))
    return false;
  if (!admission_.admits_during_slow_start(*endpoint, request))
    return false;
  const bool is_recovery = kind == AttemptKind::Recovery;
  if (is_recovery)
    endpoint->has_recovery_attempt = true;
  const TimePoint now = state_.event.now;
  UpstreamAttempt attempt;
  attempt.endpoint = id;
  attempt.sent_at = now;
  attempt.required_position = required_position(state_.class_of(request), request, now);
  attempt.is_recovery = is_recovery;
  request.attempts.push_back(attempt);
  ++request.in_flight;
  state_.sessions.record_start(request, now);
  state_.event.emit(StartAttempt{request.request.id, id, request.request.deadline - now});
  return true;
}

}  // namespace gorsebeam::router
