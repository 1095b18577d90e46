#include "idle_lifetime_estimator.h"

#include <cmath>

namespace gorsebeam::connection_pool {
namespace {

constexpr Duration kFirstIntervalEnd = 25ms;  // a shorter idle time counts as not idle
constexpr double kMinSamples = 8;             // an interval with fewer uses sets no limit
// How far the share of broken connections in an interval may exceed the share of broken ones among
// the connections that were not idle.
constexpr double kMaxExcessFailureRatio = 0.1;
constexpr Duration kDecayTime = 20s;

}  // namespace

std::size_t IdleLifetimeEstimator::interval_of(Duration idle_time) {
  std::size_t interval = 0;
  for (Duration end = kFirstIntervalEnd; interval + 1 < kIntervals && idle_time >= end; end *= 2)
    ++interval;
  return interval;
}

void IdleLifetimeEstimator::decay(TimePoint now) {
  const double factor = std::exp(-ratio(now - decayed_at_, kDecayTime));
  for (Interval& interval : intervals_) {
    interval.uses *= factor;
    interval.broken *= factor;
  }
  decayed_at_ = now;
}

void IdleLifetimeEstimator::record_reuse(TimePoint now, Duration idle_time, ReuseOutcome outcome) {
  decay(now);
  Interval& interval = intervals_[interval_of(idle_time)];
  interval.uses += 1;
  if (outcome == ReuseOutcome::Broken)
    interval.broken += 1;
}

std::optional<Duration> IdleLifetimeEstimator::idle_time_limit(TimePoint now) {
  decay(now);
  const Interval& not_idle = intervals_[0];
  const double base_ratio = not_idle.uses > 0 ? not_idle.broken / not_idle.uses : 0;
  const double max_ratio = base_ratio + kMaxExcessFailureRatio;
  Duration begin = kFirstIntervalEnd;
  for (std::size_t i = 1; i < kIntervals; ++i) {
    const Interval& interval = intervals_[i];
    if (interval.uses >= kMinSamples && interval.broken > max_ratio * interval.uses)
      return begin;
    begin *= 2;
  }
  return std::nullopt;
}

}  // namespace gorsebeam::connection_pool
