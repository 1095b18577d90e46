#include "router/load_admission.h"

#include "router/hashing.h"
#include "router/slow_start.h"

#include <algorithm>
#include <cmath>

namespace gorsebeam::router {

// The base design sheds no load. When answers take too large a fraction of their objectives,
// because of overload, slow machines or retries, an endpoint gets only so many of the requests that
// the hash assigns to it that these are answered in time. The others go to other endpoints or wait.
// The cost is requests of a group that is overloaded alone and has few answers.
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
  // The exponent is about two, as clients retry late requests, and higher for requests whose value
  // for their work is below the mean.
  const double relative = 2 * value / work / value_per_work(request);
  const double exponent = std::min(kMaxSheddingExponent, std::max(1.0, relative));
  return unit_interval(request.id_hash + 1) < std::pow(headroom, exponent);
}

// The base design has no slow start. An endpoint in slow start keeps its place in the hash, and a
// primary its writes, but only for a fraction of the requests. Each request draws whether it
// belongs to that fraction, so that the rest does not add up on the next endpoint. The fraction is
// the capacity that is certain, times the root of the overload factor where the list contained the
// start, because typical work needs less than the settings assume. It is lower while the
// endpoint's role is overloaded, as clients retry rejected requests. The cost falls on an endpoint
// that does the work of several.
bool LoadAdmission::admits_during_slow_start(const EndpointState& endpoint,
                                             const PendingRequest& request) {
  const double capacity = slow_start_capacity(endpoint, state_.settings, state_.event.now);
  if (capacity >= 1)
    return true;
  const DecayingLoad& pool = state_.pool_of(endpoint);
  const bool start_is_listed = endpoint.slow_start_since == endpoint.listing.started_at;
  const double tolerance = start_is_listed ? std::sqrt(state_.settings.overload_factor) : 1;
  const double overload_reduction =
      pool.exceeds(kTargetLoad) ? kTargetLoad * pool.count() / pool.sum() : 1;
  return unit_interval(request.id_hash) < tolerance * capacity * overload_reduction;
}

double LoadAdmission::saturation(Role role) {
  const double mean = state_.loads.mean_role_load(role, state_.event.now);
  return std::clamp(2 * mean / kTargetLoad - 1, 0.0, 1.0);
}

bool LoadAdmission::is_pool_overloaded(const EndpointState& endpoint) {
  return state_.pool_of(endpoint).exceeds(kTargetLoad);
}

double LoadAdmission::value_per_work(const PendingRequest& request) const {
  return state_.class_of(request).priority_weight / state_.typical_latency(request);
}

}  // namespace gorsebeam::router
