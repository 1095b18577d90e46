/// Tests of src/router/load_estimator.h.
#include "router/load_estimator.h"

#include <gtest/gtest.h>

#include <cmath>

namespace gorsebeam::router {
namespace {

constexpr double kTarget = 0.35;

TEST(DecayingLoad, DecaysToOneOverEInThreeSeconds) {
  DecayingLoad load;
  load.decay(TimePoint(1s)).add(1);
  load.decay(TimePoint(4s));
  EXPECT_DOUBLE_EQ(load.count(), std::exp(-1.0));
  EXPECT_DOUBLE_EQ(load.sum(), std::exp(-1.0));
}

TEST(DecayingLoad, CapsSamplesAtThatOfAMissingAnswer) {
  DecayingLoad load;
  load.add(50);
  EXPECT_DOUBLE_EQ(load.sum(), LatencyLoadEstimator::kNoAnswerSample);
}

TEST(DecayingLoad, ExceedsATargetOnlyAboveIt) {
  DecayingLoad load;
  EXPECT_FALSE(load.exceeds(kTarget));
  load.add(0.25);
  EXPECT_FALSE(load.exceeds(0.25));
  EXPECT_TRUE(load.exceeds(0.2));
}

TEST(LatencyLoadEstimator, KeepsOnePoolForEachZoneAndRole) {
  LatencyLoadEstimator estimator;
  DecayingLoad own;
  LatencyLoadEstimator::record(own, estimator.pool("north", Role::Replica, TimePoint{}), 1,
                               TimePoint{});
  EXPECT_DOUBLE_EQ(own.count(), 1);
  EXPECT_DOUBLE_EQ(estimator.pool("north", Role::Replica, TimePoint{}).count(), 1);
  EXPECT_DOUBLE_EQ(estimator.pool("south", Role::Replica, TimePoint{}).count(), 0);
  EXPECT_DOUBLE_EQ(estimator.pool("north", Role::Primary, TimePoint{}).count(), 0);
}

TEST(LatencyLoadEstimator, MeanRoleLoadSpansZonesAndExcludesOneEndpoint) {
  LatencyLoadEstimator estimator;
  DecayingLoad slow;
  DecayingLoad fast;
  LatencyLoadEstimator::record(slow, estimator.pool("north", Role::Replica, TimePoint{}), 1,
                               TimePoint{});
  LatencyLoadEstimator::record(fast, estimator.pool("south", Role::Replica, TimePoint{}), 0.5,
                               TimePoint{});
  EXPECT_DOUBLE_EQ(estimator.mean_role_load(Role::Replica, TimePoint{}), 1.5 / 3);
  EXPECT_DOUBLE_EQ(estimator.mean_role_load(Role::Replica, TimePoint{}, slow), 0.5 / 2);
  EXPECT_DOUBLE_EQ(estimator.mean_role_load(Role::Primary, TimePoint{}), 0);
}

TEST(LatencyLoadEstimator, HeadroomWithoutSamplesIsThatOfAnIdleEndpoint) {
  EXPECT_NEAR(LatencyLoadEstimator::headroom({}, {}, kTarget), kTarget / 0.21, 1e-6);
}

TEST(LatencyLoadEstimator, FewSlowAnswersOfAPoolLeaveAnEndpointHeadroom) {
  DecayingLoad pool;
  for (int i = 0; i < 3; ++i)
    pool.add(1);
  EXPECT_GT(LatencyLoadEstimator::headroom({}, pool, kTarget), 1);
  for (int i = 0; i < 100; ++i)
    pool.add(1);
  EXPECT_LT(LatencyLoadEstimator::headroom({}, pool, kTarget), 1);
}

TEST(LatencyLoadEstimator, AnEndpointsOwnAnswersOutweighItsPool) {
  DecayingLoad pool;
  for (int i = 0; i < 100; ++i)
    pool.add(0.1);
  DecayingLoad own;
  for (int i = 0; i < 40; ++i)
    own.add(1);
  EXPECT_GT(LatencyLoadEstimator::headroom({}, pool, kTarget), 1);
  EXPECT_LT(LatencyLoadEstimator::headroom(own, pool, kTarget), 1);
}

}  // namespace
}  // namespace gorsebeam::router
