#include "router/slow_start_budget.h"

#include "router/hashing.h"
#include "router/slow_start.h"

#include <algorithm>

namespace gorsebeam::router {
namespace {

// The fraction of the overload window for which an unused permit is valid.
constexpr double kValidityInWindows = 0.5;

// The same as a multiple of the mean time between this router's requests for one endpoint, where
// that is longer.
constexpr double kValidityInRequestIntervals = 1.5;

// The rate of a router that gets no requests, per second; avoids a division by zero.
constexpr double kLeastRequestRate = 1e-9;

// The limits of a request's cost, relative to the mean cost.
constexpr double kMinCost = 0.5;
constexpr double kMaxCost = 3;

}  // namespace

bool SlowStartBudget::is_limited(const EndpointState& endpoint) const {
  return slow_start_capacity(endpoint, state_.settings, state_.event.now) < 1;
}

bool SlowStartBudget::admits(EndpointState& endpoint) {
  if (!is_limited(endpoint))
    return true;
  refill(endpoint);
  if (endpoint.slow_start.permits.has_permit())
    return true;
  record_slow_start_traffic(endpoint, SlowStartTraffic::NotAdmitted, state_.settings, state_.event);
  return false;
}

void SlowStartBudget::spend(EndpointState& endpoint, const PendingRequest& request) {
  if (is_limited(endpoint)) {
    const double mean = state_.classes.mean_typical_latency();
    const double cost = std::clamp(state_.typical_latency(request) / mean, kMinCost, kMaxCost);
    endpoint.slow_start.permits.spend(cost);
  }
  endpoint.last_attempt_at = state_.event.now;
}

// A router that has not sent anything to the endpoint for a while begins with the permits of that
// time which are still valid; a new router, and one that has just sent something, with none.
void SlowStartBudget::refill(EndpointState& endpoint) const {
  const TimePoint now = state_.event.now;
  SlowStartActivity& slow_start = endpoint.slow_start;
  if (slow_start.permits_since != endpoint.slow_start_since) {
    slow_start.permits_since = endpoint.slow_start_since;
    const TimePoint unused_since =
        std::max({endpoint.last_attempt_at, state_.capacities.observed_since(), now - validity()});
    const double phase = unit_interval(
        mix_hash(state_.seed ^ mix_hash(endpoint.listing.id)) ^
        static_cast<std::uint64_t>(endpoint.slow_start_since.time_since_epoch().count()));
    slow_start.permits = PermitBucket(unused_since, phase);
  }
  const double per_second = permits_per_second(endpoint);
  slow_start.permits.refill(now, per_second, validity(),
                            per_second * kValidityInWindows *
                                ratio(overload_window(state_.settings), 1s));
}

// Within any window, the permits that are used were issued in the window or before it within their
// validity, and a request may reach the endpoint later than its permit was used by the time in
// which a connection is established. With the rate divided accordingly, their sum is the budget.
double SlowStartBudget::permits_per_second(const EndpointState& endpoint) const {
  const Settings& settings = state_.settings;
  const double connect_delay =
      std::min(1.0, ratio(settings.connect_timeout, overload_window(settings)));
  const double factor = settings.overload_factor / (1 + kValidityInWindows + connect_delay);
  const double capacity = slow_start_capacity(endpoint, settings, state_.event.now) *
                          state_.capacities.capacity_share() * capacity_weight(endpoint);
  return factor * capacity / (state_.classes.mean_typical_latency() / 1e9);
}

// Where a router has few requests for an endpoint, a permit that expired as early as elsewhere
// would hardly ever meet a request. A longer validity is safe there: in any window only a fraction
// of such routers has a request for the endpoint.
Duration SlowStartBudget::validity() const {
  const double seconds_between_requests =
      1 / std::max(state_.capacities.request_rate_per_endpoint(), kLeastRequestRate);
  const double seconds = std::max(kValidityInWindows * ratio(overload_window(state_.settings), 1s),
                                  kValidityInRequestIntervals * seconds_between_requests);
  return std::min(to_duration(seconds * 1e9), state_.settings.slow_start_duration / 2);
}

}  // namespace gorsebeam::router
