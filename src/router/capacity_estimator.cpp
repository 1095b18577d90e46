#include "router/capacity_estimator.h"

#include "router/slow_start.h"

#include <algorithm>
#include <cmath>

namespace gorsebeam::router {
namespace {

// The time in seconds in which the weight of an observation of served work decays to 1/e.
constexpr double kServedDecaySeconds = 10;

// The same for arrivals; short, so that a burst is noticed within the overload window.
constexpr double kArrivalDecaySeconds = 1;

// The least capacity of an endpoint: it serves one request at a time.
constexpr double kLeastCapacity = 1;

// The assumed capacity counts as an observation of one endpoint for so many seconds.
constexpr double kPriorEndpointSeconds = 5;

// How often the endpoints are counted, as lists may have thousands of entries.
constexpr Duration kCountInterval = 500ms;

}  // namespace

double capacity_weight(const EndpointState& endpoint) {
  const double weight = endpoint.listing.weight;
  return std::isfinite(weight) && weight > 0 ? weight : 1;
}

void CapacityEstimator::advance(TimePoint now) {
  if (advanced_to_ == kUnknownTime) {
    observed_since_ = now;
    advanced_to_ = now;
  }
  const double elapsed = ratio(now - advanced_to_, 1s);
  advanced_to_ = now;
  const double kept = std::exp(-elapsed / kServedDecaySeconds);
  served_work_ *= kept;
  endpoint_time_ = endpoint_time_ * kept + full_weight_ * kServedDecaySeconds * (1 - kept);
  recent_requests_ *= std::exp(-elapsed / kArrivalDecaySeconds);
  if (counted_at_ == kUnknownTime || now - counted_at_ >= kCountInterval) {
    counted_at_ = now;
    count_endpoints();
  }
}

void CapacityEstimator::count_endpoints() {
  full_weight_ = 0;
  up_count_ = 0;
  for (const auto& [id, endpoint] : endpoints_.all()) {
    if (!endpoint.is_usable())
      continue;
    up_count_ += 1;
    if (!endpoint.is_ejected && slow_start_capacity(endpoint, settings_, counted_at_) >= 1)
      full_weight_ += capacity_weight(endpoint);
  }
}

void CapacityEstimator::record_answer(const EndpointState& endpoint, double work) {
  if (slow_start_capacity(endpoint, settings_, advanced_to_) >= 1)
    served_work_ += work / 1e9;
}

double CapacityEstimator::capacity_share() const {
  const double assumed = kLeastCapacity / std::max<double>(settings_.router_count, 1);
  const double estimated =
      (served_work_ + assumed * kPriorEndpointSeconds) / (endpoint_time_ + kPriorEndpointSeconds);
  return std::max(estimated, assumed);
}

double CapacityEstimator::request_rate_per_endpoint() const {
  return recent_requests_ / kArrivalDecaySeconds / std::max(up_count_, 1.0);
}

}  // namespace gorsebeam::router
