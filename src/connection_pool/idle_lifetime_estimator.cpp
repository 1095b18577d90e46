#include "idle_lifetime_estimator.h"

#include "net/timer.h"

#include <cmath>
#include <limits>

namespace gorsebeam::connection_pool {
namespace {

constexpr Duration kFirstIntervalEnd = 25ms;  // a shorter idle time counts as none
constexpr double kMinSamples = 8;
// The share of broken uses above that of connections that were not idle.
constexpr double kMaxExcessFailureRatio = 0.1;
constexpr double kDecayTime = 20e9;  // ns

}  // namespace

std::size_t IdleLifetimeEstimator::interval_of(Duration idle_time) {
  std::size_t interval = 0;
  for (Duration end = kFirstIntervalEnd; interval + 1 < kIntervals && idle_time >= end; end *= 2)
    ++interval;
  return interval;
}

void IdleLifetimeEstimator::decay() {
  const TimePoint now = net::now();
  const double kept = std::exp(-to_double(now - decayed_at_) / kDecayTime);
  for (Interval& interval : intervals_) {
    interval.uses *= kept;
    interval.broken *= kept;
  }
  decayed_at_ = now;
}

void IdleLifetimeEstimator::record_use(Duration idle_time, bool broke) {
  decay();
  Interval& interval = intervals_[interval_of(idle_time)];
  interval.uses += 1;
  if (broke)
    interval.broken += 1;
}

Duration IdleLifetimeEstimator::max_idle_time() {
  decay();
  const Interval& not_idle = intervals_[0];
  const double usual_ratio = not_idle.uses > 0 ? not_idle.broken / not_idle.uses : 0;
  const double max_ratio = usual_ratio + kMaxExcessFailureRatio;
  Duration begin = kFirstIntervalEnd;
  for (std::size_t i = 1; i < kIntervals; ++i) {
    const Interval& interval = intervals_[i];
    if (interval.uses >= kMinSamples && interval.broken > max_ratio * interval.uses)
      return begin;
    begin *= 2;
  }
  return Duration::max();
}

}  // namespace gorsebeam::connection_pool
