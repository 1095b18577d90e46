/// Tests of src/router/permit_bucket.h.
#include "router/permit_bucket.h"

#include <gtest/gtest.h>

namespace gorsebeam::router {
namespace {

constexpr TimePoint kStart{1000s};
constexpr Duration kValidity = 500ms;
constexpr double kCapacity = 100;

int use_all(PermitBucket& bucket) {
  int used = 0;
  for (; bucket.has_permit(); ++used)
    bucket.spend(1);
  return used;
}

TEST(PermitBucket, StartsWithoutPermits) {
  PermitBucket bucket(kStart, 0.9);
  bucket.refill(kStart, 10, kValidity, kCapacity);
  EXPECT_FALSE(bucket.has_permit());
}

TEST(PermitBucket, IssuesTheFirstPermitOnceThePhaseIsComplete) {
  PermitBucket bucket(kStart, 0.75);
  bucket.refill(kStart + 240ms, 1, kValidity, kCapacity);
  EXPECT_FALSE(bucket.has_permit());
  bucket.refill(kStart + 250ms, 1, kValidity, kCapacity);
  EXPECT_EQ(use_all(bucket), 1);
}

TEST(PermitBucket, DropsPermitsThatWereNotUsedInTime) {
  PermitBucket bucket(kStart, 0);
  bucket.refill(kStart + 60s, 10, kValidity, kCapacity);
  EXPECT_LE(use_all(bucket), 10 * 0.5 + 1);
}

TEST(PermitBucket, HoldsAtMostItsCapacityAndAtLeastOnePermit) {
  PermitBucket bucket(kStart, 0);
  bucket.refill(kStart + 500ms, 10, kValidity, 3);
  EXPECT_EQ(use_all(bucket), 3);
  bucket.refill(kStart + 1s, 10, kValidity, 0.1);
  EXPECT_EQ(use_all(bucket), 1);
}

TEST(PermitBucket, BoundsAnyWindowThroughAPauseAndABurst) {
  constexpr double kRate = 20;
  PermitBucket bucket(kStart, 0.5);
  bucket.refill(kStart + 10s, kRate, kValidity, kCapacity);
  int used = use_all(bucket);
  for (int step = 1; step <= 100; ++step) {
    bucket.refill(kStart + 10s + step * 10ms, kRate, kValidity, kCapacity);
    used += use_all(bucket);
  }
  EXPECT_LE(used, kRate * (1 + 0.5) + 1);
}

TEST(PermitBucket, ExpensiveRequestsDelayTheNextPermit) {
  PermitBucket bucket(kStart, 0);
  bucket.refill(kStart + 100ms, 10, kValidity, kCapacity);
  bucket.spend(3);
  bucket.refill(kStart + 390ms, 10, kValidity, kCapacity);
  EXPECT_FALSE(bucket.has_permit());
  bucket.refill(kStart + 410ms, 10, kValidity, kCapacity);
  EXPECT_TRUE(bucket.has_permit());
}

TEST(PermitBucket, IsBoundedAtAnyRate) {
  PermitBucket bucket(kStart, 0);
  bucket.refill(kStart + 3600s, 1e9, 7200s, 1e12);
  EXPECT_EQ(use_all(bucket), static_cast<int>(PermitBucket::kMaxPermits));
}

}  // namespace
}  // namespace gorsebeam::router
