#include "router/position_requester.h"

#include "router/replication_positions.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace gorsebeam::router {
namespace {

// The number of endpoints that a read of a group without a known primary may check beyond the
// budget.
constexpr int kMaxExemptHealthChecks = 4;

}  // namespace

// Reads of a group without a known primary do not wait until the next write finds it, which takes
// seconds where many routers share the traffic. Each such read checks the group's endpoints once,
// beyond the budget, because a health check costs less than the value of a read.
//
// With many routers, the reads with a staleness bound arrive at longer intervals than the bound, so
// that the positions known at one read are too old for the next. An old position does not mean that
// the replica lags, so one endpoint at a time is checked, rather than all, and the read waits for
// the result. Trade-off: the latency rises when several replicas do lag.
bool PositionRequester::request_positions(const PendingRequest& request) {
  const ReplicaGroup& group = state_.group_of(request);
  const bool lacks_primary = !group.primary || group.primary_suspected;
  const bool is_first_dispatch = state_.event.now == request.arrived_at;
  int exempt_checks = is_first_dispatch && lacks_primary ? kMaxExemptHealthChecks : 0;
  const bool one_at_a_time = group.sparse_bounded_reads && exempt_checks == 0;
  bool waits_for_check = one_at_a_time && is_position_requested(group);
  bool position_may_arrive = false;
  const std::vector<EndpointId>& ids = group.endpoints;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const EndpointId id = ids[(i + request.id_hash) % ids.size()];
    EndpointState& endpoint = state_.endpoints.at(id);
    const bool is_primary = group.primary == id;
    if (!endpoint.is_usable() || (is_primary && !group.primary_suspected))
      continue;
    const auto budget = exempt_checks > 0 ? HealthCheckBudget::Exempt : HealthCheckBudget::Limited;
    if (!waits_for_check && state_.health_checks.check(endpoint, kHealthCheckGap, budget)) {
      waits_for_check = one_at_a_time;
      exempt_checks = std::max(0, exempt_checks - 1);
    }
    if (!is_primary && !selector_.was_attempted(request, id))
      position_may_arrive |= can_catch_up(endpoint, request);
  }
  return position_may_arrive || waits_for_check;
}

bool PositionRequester::can_catch_up(const EndpointState& endpoint,
                                     const PendingRequest& request) const {
  if (endpoint.position == kUnknownPosition)
    return false;
  if (endpoint.is_ejected)
    return !endpoint.needs_recovery_attempt;
  const TimePoint now = state_.event.now;
  const ReplicationPosition required = required_position(state_.class_of(request), request, now);
  // A replica that lags by more than the remaining time does not catch up before the read's latency
  // objective.
  return required != kUnknownPosition &&
         required < endpoint.position + (request.objective_at - now);
}

bool PositionRequester::is_position_requested(const ReplicaGroup& group) const {
  const TimePoint now = state_.event.now;
  const auto is_being_checked = [this, now](EndpointId id) {
    const EndpointState& endpoint = state_.endpoints.at(id);
    return endpoint.has_health_check &&
           now - endpoint.last_health_check_at < 2 * kRequestCheckInterval;
  };
  return std::any_of(group.endpoints.begin(), group.endpoints.end(), is_being_checked);
}

}  // namespace gorsebeam::router
