#include "router/load_estimator.h"

#include <algorithm>
#include <cmath>

namespace gorsebeam::router {
namespace {

constexpr double kFadeTime = 3e9;       // ns in which a sample fades to 1/e: jams last seconds
constexpr double kPoolPriorCount = 30;  // samples whose mean errs by a fifth: fewer say little
constexpr double kIdleLoad = 0.21;  // the fraction of its objective that an answer takes when idle
constexpr double kOwnPriorCount =
    4;  // from so many samples of its own an endpoint outweighs its pool

}  // namespace

FadingLoad& FadingLoad::fade(TimePoint now) {
  const double kept = std::exp(-to_double(now - faded_at_) / kFadeTime);
  sum_ *= kept;
  count_ *= kept;
  faded_at_ = now;
  return *this;
}

void FadingLoad::add(double objective_fraction) {
  sum_ += std::min(objective_fraction, LatencyLoadEstimator::kNoAnswer);
  count_ += 1;
}

FadingLoad& LatencyLoadEstimator::pool(const std::string& zone, Role role, TimePoint now) {
  return pools_[{zone, role}].fade(now);
}

void LatencyLoadEstimator::record(FadingLoad& own, FadingLoad& pool, double objective_fraction,
                                  TimePoint now) {
  own.fade(now).add(objective_fraction);
  pool.fade(now).add(objective_fraction);
}

double LatencyLoadEstimator::headroom(const FadingLoad& own, const FadingLoad& pool,
                                      double target) {
  // The prior keeps a router with few requests from mistaking chance for load: of a hundred such
  // routers, many would.
  const double pool_mean =
      (pool.sum() + kPoolPriorCount * kIdleLoad) / (pool.count() + kPoolPriorCount);
  return target * (own.count() + kOwnPriorCount) / (own.sum() + kOwnPriorCount * pool_mean + 1e-9);
}

double LatencyLoadEstimator::role_mean(Role role, TimePoint now, const FadingLoad& excluded) {
  double sum = -excluded.sum();
  double count = -excluded.count();
  for (auto& [key, pool] : pools_) {
    if (key.second != role)
      continue;
    sum += pool.fade(now).sum();
    count += pool.count();
  }
  return std::max(sum, 0.0) / (std::max(count, 0.0) + 1);
}

}  // namespace gorsebeam::router
