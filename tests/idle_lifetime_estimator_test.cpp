// Tests from which idle time on connections are not used again.
#include "connection_pool/idle_lifetime_estimator.h"
#include "connection_pool/pool_limits.h"

#include <gtest/gtest.h>

#include <optional>

using namespace gorsebeam;
using namespace gorsebeam::connection_pool;

namespace {

constexpr TimePoint kStart(1000s);

void record(IdleLifetimeEstimator& estimator, Duration idle_time, ReuseOutcome outcome, int count) {
  for (int i = 0; i < count; ++i)
    estimator.record_reuse(kStart, idle_time, outcome);
}

TEST(IdleLifetimeEstimator, LimitsTheIdleTimeWhereConnectionsBreak) {
  IdleLifetimeEstimator estimator;
  record(estimator, 150ms, ReuseOutcome::Broken, 7);
  EXPECT_EQ(estimator.idle_time_limit(kStart), std::nullopt) << "too few samples";
  record(estimator, 150ms, ReuseOutcome::Broken, 1);
  EXPECT_EQ(estimator.idle_time_limit(kStart), 100ms);
}

TEST(IdleLifetimeEstimator, SetsNoLimitWhereOtherConnectionsBreakAsOften) {
  IdleLifetimeEstimator estimator;
  record(estimator, 10ms, ReuseOutcome::Broken, 8);
  record(estimator, 150ms, ReuseOutcome::Broken, 8);
  EXPECT_EQ(estimator.idle_time_limit(kStart), std::nullopt);
}

TEST(IdleLifetimeEstimator, TriesLongerIdleTimesAgainOnceTheCountsHaveDecayed) {
  IdleLifetimeEstimator estimator;
  record(estimator, 150ms, ReuseOutcome::Broken, 10);
  EXPECT_EQ(estimator.idle_time_limit(kStart + 4s), 100ms);
  EXPECT_EQ(estimator.idle_time_limit(kStart + 6s), std::nullopt);
}

TEST(PoolLimits, ConnectionsAreClosedBeforeTheEndpointClosesThem) {
  PoolLimits limits;
  limits.idle_timeout = 8s;
  EXPECT_EQ(idle_time_limit(limits), 6s);
  limits.idle_timeout = 30s;
  EXPECT_EQ(idle_time_limit(limits), 27s);
  limits.idle_timeout.reset();
  EXPECT_EQ(idle_time_limit(limits), std::nullopt);
}

}  // namespace
