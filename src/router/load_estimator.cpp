#include "router/load_estimator.h"

#include <algorithm>
#include <cmath>

namespace gorsebeam::router {
namespace {

// The time in nanoseconds in which a sample's weight decays to 1/e, as congestion lasts seconds.
constexpr double kDecayTime = 3e9;

// The prior of a pool counts as this many samples. The mean of 30 samples has an error of about a
// fifth.
constexpr double kPoolPriorCount = 30;

// The fraction of its latency objective that an answer takes without load.
constexpr double kIdleLoad = 0.21;

// An endpoint's own load outweighs the load of its pool from this many samples on.
constexpr double kOwnPriorCount = 4;

}  // namespace

DecayingLoad& DecayingLoad::decay(TimePoint now) {
  const double kept = std::exp(-to_double(now - decayed_at_) / kDecayTime);
  sum_ *= kept;
  count_ *= kept;
  decayed_at_ = now;
  return *this;
}

void DecayingLoad::add(double objective_fraction) {
  sum_ += std::min(objective_fraction, LatencyLoadEstimator::kNoAnswerSample);
  count_ += 1;
}

DecayingLoad& LatencyLoadEstimator::pool(const std::string& zone, Role role, TimePoint now) {
  return pools_[{zone, role}].decay(now);
}

void LatencyLoadEstimator::record(DecayingLoad& own, DecayingLoad& pool, double objective_fraction,
                                  TimePoint now) {
  own.decay(now).add(objective_fraction);
  pool.decay(now).add(objective_fraction);
}

double LatencyLoadEstimator::headroom(const DecayingLoad& own, const DecayingLoad& pool,
                                      double target) {
  // The prior, an idle pool, prevents a router with few requests from mistaking random variation
  // for load.
  const double pool_mean =
      (pool.sum() + kPoolPriorCount * kIdleLoad) / (pool.count() + kPoolPriorCount);
  return target * (own.count() + kOwnPriorCount) / (own.sum() + kOwnPriorCount * pool_mean + 1e-9);
}

double LatencyLoadEstimator::mean_role_load(Role role, TimePoint now,
                                            const DecayingLoad& excluded) {
  double sum = -excluded.sum();
  double count = -excluded.count();
  for (auto& [key, pool] : pools_) {
    if (key.second != role)
      continue;
    sum += pool.decay(now).sum();
    count += pool.count();
  }
  return std::max(sum, 0.0) / (std::max(count, 0.0) + 1);
}

}  // namespace gorsebeam::router
