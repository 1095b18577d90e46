#include "router/retry_policy.h"

#include "router/replication_positions.h"

#include <algorithm>
#include <cstdint>

namespace gorsebeam::router {
namespace {

// An attempt is overdue after at least this many times the median latency of its class. One answer
// in 64 takes longer if latencies are distributed exponentially.
constexpr double kOverdueFactor = 6;

// The hedged requests that each request adds to the budget; bounds the load that hedging adds.
constexpr double kHedgeShare = 0.02;

// Half of the backoff after a primary rejected the first attempt of a request. The backoff doubles
// with each attempt.
constexpr Duration kRejectionBackoff = 5 * kRequestCheckInterval;

}  // namespace

void RetryPolicy::accrue_hedge_budget() {
  hedge_budget_ = std::min(hedge_budget_ + kHedgeShare, kMaxHedgeBudget);
}

// Where the settings allow it, an attempt that is overdue is hedged at another replica: at once if
// its endpoint was ejected, otherwise within a budget that is a small share of all requests.
HedgeDecision RetryPolicy::decide_hedge(const PendingRequest& request) const {
  const RequestClass& request_class = state_.class_of(request);
  const UpstreamAttempt& last = request.attempts.back();
  if (!state_.settings.hedging_allowed || request.is_hedged || !last.in_flight || !last.is_overdue)
    return HedgeDecision::None;
  if (request_class.idempotency == Idempotency::NotIdempotent ||
      request_class.consistency == ConsistencyLevel::Strong ||
      request_class.consistency == ConsistencyLevel::Write || !has_attempts_left(request))
    return HedgeDecision::None;
  const bool is_ejected = state_.endpoints.at(last.endpoint).is_ejected;
  if (!is_ejected && hedge_budget_ < 1)
    return HedgeDecision::None;
  const auto typical_latency = to_duration(state_.typical_latency(request));
  if (state_.event.now + typical_latency > request.give_up_at)
    return HedgeDecision::None;
  return is_ejected ? HedgeDecision::Free : HedgeDecision::Budgeted;
}

// An attempt is overdue only long after the typical latency of its class and the present latency of
// the other endpoints. Where all endpoints are slow, none of them is at fault. So congestion does
// not eject endpoints or suspect a primary, and does not concentrate the load on the last endpoint
// left.
Duration RetryPolicy::overdue_after(const PendingRequest& request, EndpointId id) {
  const RequestClass& request_class = state_.class_of(request);
  const auto objective = to_double(request_class.latency_objective);
  EndpointState& endpoint = state_.endpoints.at(id);
  const bool is_primary = state_.group_of(request).primary == id;
  const Role role = is_primary ? Role::Primary : Role::Replica;
  const Role other_role = is_primary ? Role::Replica : Role::Primary;
  const TimePoint now = state_.event.now;
  const double peers = state_.loads.mean_role_load(role, now, state_.load_of(endpoint));
  const double others = std::max(peers, state_.loads.mean_role_load(other_role, now));
  const double limit = std::max(kOverdueFactor * state_.typical_latency(request), objective / 4) +
                       2 * others * objective;
  return to_duration(std::min(limit, 2.0 * to_double(request_class.deadline)));
}

bool RetryPolicy::has_attempts_left(const PendingRequest& request) const {
  const std::uint32_t by_settings = state_.settings.max_attempts;
  const std::uint32_t by_contract = request.request.max_attempts;
  const std::uint32_t limit = by_contract == 0 ? by_settings : std::min(by_settings, by_contract);
  return request.attempts.size() < limit;
}

// A request that may have run and is not idempotent is sent again only while endpoints still
// remember its idempotency key.
bool RetryPolicy::is_safe_to_retry(const PendingRequest& request) const {
  const RequestClass& request_class = state_.class_of(request);
  if (request.may_have_run_at == kUnknownTime ||
      request_class.idempotency == Idempotency::Idempotent)
    return true;
  if (request_class.idempotency == Idempotency::NotIdempotent)
    return false;
  return state_.event.now - request.may_have_run_at <
         request_class.deduplication_window - state_.settings.clock_resolution;
}

// Where idempotency keys are remembered per zone, a request that may have run is sent again only to
// endpoints of the zone where it may have run.
bool RetryPolicy::can_retry_at(const PendingRequest& request, const EndpointState& endpoint) const {
  const RequestClass& request_class = state_.class_of(request);
  if (request_class.idempotency != Idempotency::IdempotencyKey ||
      request_class.deduplication_scope != DeduplicationScope::Zone ||
      request.may_have_run_at == kUnknownTime)
    return true;
  const EndpointState* const ran_on = state_.endpoints.find(request.may_have_run_on);
  return ran_on != nullptr && endpoint.listing.zone == ran_on->listing.zone;
}

bool RetryPolicy::is_attempt_allowed(const PendingRequest& request,
                                     const EndpointState& endpoint) const {
  const TimePoint now = state_.event.now;
  if (request.is_closed || now >= request.request.deadline ||
      endpoint.listing.group != request.request.group)
    return false;
  if (!endpoint.is_usable())
    return false;
  if (!is_safe_to_retry(request) || !can_retry_at(request, endpoint))
    return false;
  const RequestClass& request_class = state_.class_of(request);
  if (state_.settings.staleness_check != StalenessCheck::None ||
      request_class.consistency == ConsistencyLevel::Write ||
      request_class.consistency == ConsistencyLevel::Eventual)
    return true;
  if (state_.group_of(request).primary == endpoint.listing.id)
    return true;
  return is_proven_current(endpoint, request_class, request, now);
}

bool RetryPolicy::can_start_attempt(const PendingRequest& request,
                                    const EndpointState& endpoint) const {
  if (!has_attempts_left(request))
    return false;
  const bool is_idempotent = state_.class_of(request).idempotency == Idempotency::Idempotent;
  if (request.in_flight > 0 && (!state_.settings.hedging_allowed || !is_idempotent))
    return false;
  return is_attempt_allowed(request, endpoint);
}

TimePoint RetryPolicy::give_up_at(const PendingRequest& request) const {
  const Duration margin = kRequestCheckInterval + 2 * state_.settings.clock_resolution;
  const TimePoint before_deadline = request.request.deadline - margin;
  if (state_.class_of(request).late_weight_fraction > 0)
    return before_deadline;
  return std::min(before_deadline, request.objective_at);  // a late answer has no value
}

TimePoint RetryPolicy::retry_after_rejection(const PendingRequest& request) const {
  return state_.event.now + kRejectionBackoff * (std::int64_t{1} << request.attempts.size());
}

}  // namespace gorsebeam::router
