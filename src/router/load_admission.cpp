#include "router/load_admission.h"

#include "router/hashing.h"
#include "router/slow_start.h"

#include <algorithm>
#include <cmath>

namespace gorsebeam::router {

// Deviates from the base design when answers take too large a fraction of their objectives, by
// overload, slow machines or retries. Of the requests that the hash gives an endpoint, only so many
// pass that the rest are in time; what is left goes to others or waits. Costs requests where one
// group alone is overloaded and has few answers.
bool LoadAdmission::admits_under_load(EndpointState& endpoint, const PendingRequest& request) {
  const DecayingLoad& pool = state_.pool_of(endpoint);
  const DecayingLoad& own = state_.load_of(endpoint);
  const double headroom = LatencyLoadEstimator::headroom(own, pool, kTargetLoad);
  double value = 0;
  double work = 0;
  for (std::size_t i = 0; i < state_.settings.classes.size(); ++i) {
    value += state_.classes.traffic(i) * state_.settings.classes[i].priority_weight;
    work += state_.classes.traffic(i) * state_.classes.typical_latency(i);
  }
  // About squared, as clients repeat what was late; more for requests whose value for their work is
  // below the mean.
  const double relative = 2 * value / work / value_per_work(request);
  const double exponent = std::min(kMaxSheddingExponent, std::max(1.0, relative));
  return unit_interval(request.draw + 1) < std::pow(headroom, exponent);
}

// Deviates from the base design while an endpoint is in slow start. It keeps its place in the hash,
// and the primary its writes, but only for a fraction of the requests, drawn by the request, so
// that what it leaves does not add up on the next. The fraction is its certain capacity, times the
// root of the overload factor where the list told of its start, as usual work leaves room; less
// while its role is overloaded, as clients repeat what is rejected. Costs an endpoint that has the
// work of several.
bool LoadAdmission::admits_during_slow_start(const EndpointState& endpoint,
                                             const PendingRequest& request) {
  const double capacity = slow_start_capacity(endpoint, state_.settings, state_.event.now);
  if (capacity >= 1)
    return true;
  const DecayingLoad& pool = state_.pool_of(endpoint);
  const bool start_is_listed = endpoint.warming_since == endpoint.listing.started_at;
  const double tolerance = start_is_listed ? std::sqrt(state_.settings.overload_factor) : 1;
  const double relief = pool.exceeds(kTargetLoad) ? kTargetLoad * pool.count() / pool.sum() : 1;
  return unit_interval(request.draw) < tolerance * capacity * relief;
}

double LoadAdmission::saturation(Role role) {
  const double mean = state_.loads.role_mean(role, state_.event.now);
  return std::clamp(2 * mean / kTargetLoad - 1, 0.0, 1.0);
}

bool LoadAdmission::is_pool_overloaded(const EndpointState& endpoint) {
  return state_.pool_of(endpoint).exceeds(kTargetLoad);
}

double LoadAdmission::value_per_work(const PendingRequest& request) const {
  return state_.class_of(request).priority_weight / state_.typical_latency(request);
}

}  // namespace gorsebeam::router
