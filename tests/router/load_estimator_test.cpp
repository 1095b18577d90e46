/// Tests of src/router/load_estimator.h.
#include "router/load_estimator.h"

#include <gtest/gtest.h>

#include <cmath>

namespace gorsebeam::router {
namespace {

constexpr Nanos kSecond = 1'000'000'000;
constexpr double kTarget = 0.35;

TEST(FadingLoad, FadesToOneOverEInThreeSeconds) {
  FadingLoad load;
  load.fade(kSecond).add(1);
  load.fade(4 * kSecond);
  EXPECT_DOUBLE_EQ(load.count(), std::exp(-1.0));
  EXPECT_DOUBLE_EQ(load.sum(), std::exp(-1.0));
}

TEST(FadingLoad, CapsSamplesAtNoAnswer) {
  FadingLoad load;
  load.add(50);
  EXPECT_DOUBLE_EQ(load.sum(), LatencyLoadEstimator::kNoAnswer);
}

TEST(FadingLoad, ExceedsATargetOnlyAboveIt) {
  FadingLoad load;
  EXPECT_FALSE(load.exceeds(kTarget));
  load.add(0.25);
  EXPECT_FALSE(load.exceeds(0.25));
  EXPECT_TRUE(load.exceeds(0.2));
}

TEST(LatencyLoadEstimator, KeepsOnePoolForEachZoneAndRole) {
  LatencyLoadEstimator estimator;
  FadingLoad own;
  LatencyLoadEstimator::record(own, estimator.pool("north", Role::Replica, 0), 1, 0);
  EXPECT_DOUBLE_EQ(own.count(), 1);
  EXPECT_DOUBLE_EQ(estimator.pool("north", Role::Replica, 0).count(), 1);
  EXPECT_DOUBLE_EQ(estimator.pool("south", Role::Replica, 0).count(), 0);
  EXPECT_DOUBLE_EQ(estimator.pool("north", Role::Primary, 0).count(), 0);
}

TEST(LatencyLoadEstimator, RoleMeanSpansZonesAndLeavesOutOneEndpoint) {
  LatencyLoadEstimator estimator;
  FadingLoad slow;
  FadingLoad quick;
  LatencyLoadEstimator::record(slow, estimator.pool("north", Role::Replica, 0), 1, 0);
  LatencyLoadEstimator::record(quick, estimator.pool("south", Role::Replica, 0), 0.5, 0);
  EXPECT_DOUBLE_EQ(estimator.role_mean(Role::Replica, 0), 1.5 / 3);
  EXPECT_DOUBLE_EQ(estimator.role_mean(Role::Replica, 0, slow), 0.5 / 2);
  EXPECT_DOUBLE_EQ(estimator.role_mean(Role::Primary, 0), 0);
}

TEST(LatencyLoadEstimator, HeadroomWithoutSamplesIsThatOfAnIdleEndpoint) {
  EXPECT_NEAR(LatencyLoadEstimator::headroom({}, {}, kTarget), kTarget / 0.21, 1e-6);
}

TEST(LatencyLoadEstimator, FewSlowAnswersOfAPoolDoNotMakeAnEndpointFull) {
  FadingLoad pool;
  for (int i = 0; i < 3; ++i)
    pool.add(1);
  EXPECT_GT(LatencyLoadEstimator::headroom({}, pool, kTarget), 1);
  for (int i = 0; i < 100; ++i)
    pool.add(1);
  EXPECT_LT(LatencyLoadEstimator::headroom({}, pool, kTarget), 1);
}

TEST(LatencyLoadEstimator, AnEndpointsOwnAnswersOutweighItsPool) {
  FadingLoad pool;
  for (int i = 0; i < 100; ++i)
    pool.add(0.1);
  FadingLoad own;
  for (int i = 0; i < 40; ++i)
    own.add(1);
  EXPECT_GT(LatencyLoadEstimator::headroom({}, pool, kTarget), 1);
  EXPECT_LT(LatencyLoadEstimator::headroom(own, pool, kTarget), 1);
}

}  // namespace
}  // namespace gorsebeam::router
