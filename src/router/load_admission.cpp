#include "router/load_admission.h"

#include "router/hashing.h"

#include <algorithm>
#include <cmath>

namespace gorsebeam::router {

// When answers take too large a fraction of their latency objectives, because of overload, slow
// machines or retries, an endpoint gets only as many of the requests that the hash assigns to it as
// it can answer in time. The others go to other endpoints or wait. Trade-off: as the load is pooled
// over groups, a group that is overloaded alone and has few answers may lose requests.
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
  // The exponent is two for requests of mean value per work, as clients retry late requests, and
  // higher for requests of less value per work.
  const double relative = 2 * value / work / value_per_work(request);
  const double exponent = std::min(kMaxSheddingExponent, std::max(1.0, relative));
  return unit_interval(request.id_hash + 1) < std::pow(headroom, exponent);
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
