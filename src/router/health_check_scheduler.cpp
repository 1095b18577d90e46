#include "router/health_check_scheduler.h"

#include "router/replication_positions.h"
#include "router/slow_start.h"

#include <algorithm>

namespace gorsebeam::router {
namespace {

// The health checks that each request of this router adds to the budget.
constexpr double kBudgetShare = 0.1;

// The least value of a replication position that only one read uses, as a fraction of the value of
// that read.
constexpr double kMinPositionValue = 0.04;

}  // namespace

void HealthCheckScheduler::accrue_budget(bool read_needs_own_check, double primary_saturation) {
  const double value = std::max(kMinPositionValue, primary_saturation);
  const double share =
      read_needs_own_check ? value / std::max(settings_.health_check_cost, value) : kBudgetShare;
  budget_ = std::min(budget_ + share, kMaxBudget);
}

bool HealthCheckScheduler::check(EndpointState& endpoint, Duration gap, HealthCheckBudget budget) {
  const bool limited = budget == HealthCheckBudget::Limited;
  if (!settings_.health_checks_allowed || endpoint.has_health_check || !endpoint.is_usable())
    return false;
  if (limited && budget_ < 1)
    return false;
  const TimePoint last = endpoint.last_health_check_at;
  if (last != kUnknownTime && event_.now - last < gap)
    return false;
  if (limited)
    budget_ -= 1;
  endpoint.has_health_check = true;
  endpoint.last_health_check_at = event_.now;
  record_slow_start_traffic(endpoint, SlowStartTraffic::HealthCheck, settings_, event_);
  event_.emit(SendHealthCheck{endpoint.listing.id});
  return true;
}

void HealthCheckScheduler::refresh_group(const ReplicaGroup& group,
                                         const RequestClass& request_class) {
  for (const EndpointId id : group.endpoints) {
    EndpointState& endpoint = endpoints_.at(id);
    if (!endpoint.is_usable())
      continue;
    // A check cannot readmit an endpoint that needs a recovery attempt, but may show that an
    // endpoint which may have restarted did not.
    const bool check_is_useful = !endpoint.needs_recovery_attempt || endpoint.may_have_restarted;
    if (endpoint.is_ejected && check_is_useful)
      check(endpoint, 4 * kHealthCheckGap);
    refresh_position(endpoint, group, request_class);
  }
}

void HealthCheckScheduler::refresh_position(EndpointState& endpoint, const ReplicaGroup& group,
                                            const RequestClass& request_class) {
  if (!settings_.load_reports_contain_positions || group.primary == endpoint.listing.id ||
      endpoint.is_ejected)
    return;
  const Duration max_staleness = request_class.max_staleness;
  const bool is_old = endpoint.position == kUnknownPosition ||
                      event_.now - time_of(endpoint.position) > max_staleness / 2;
  const bool is_bounded = request_class.consistency == ConsistencyLevel::BoundedStaleness;
  if (is_bounded && !group.sparse_bounded_reads && is_old)
    check(endpoint, max_staleness / 3);
  if (is_known_stale(endpoint))
    check(endpoint, 5 * kHealthCheckGap);
}

void HealthCheckScheduler::check_new_endpoint(EndpointState& endpoint, std::size_t list_size) {
  if (static_cast<double>(list_size) <= kMaxBudget)
    check(endpoint);
}

}  // namespace gorsebeam::router
