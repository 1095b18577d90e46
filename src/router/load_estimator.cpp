#include "router/load_estimator.h"

#include <algorithm>
#include <cmath>

namespace gorsebeam::router {
namespace {

constexpr double kDecayTime = 3e9;  // ns in which a sample decays to 1/e; congestion lasts seconds
constexpr double kPoolPriorCount = 30;  // samples; the mean of so many has an error of a fifth
constexpr double kIdleLoad =
    0.21;  // the fraction of its objective that an answer takes without load
constexpr double kOwnPriorCount =
    4;  // samples from which an endpoint's own load outweighs that of its pool

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
  // The prior prevents a router with few requests from taking random variation for load.
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
