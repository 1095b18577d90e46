#include "rate_limit/token_buckets.h"

#include <gtest/gtest.h>

namespace gorsebeam {
namespace {
TEST(TokenBuckets, AdmitsBurstRefillsAtRateAndReturnsTimeUntilNextToken) {
  rate_limit::TokenBuckets buckets;
  buckets.replace_rates({{"portal", {2, 3}}}, TimePoint{});
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(buckets.try_acquire("portal", TimePoint{}), 0ms);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint{}), 500ms);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(250ms)),
            250ms);  // the rejected request took no token
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(500ms)), 0ms);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(100s)), 0ms);  // refills at most to the burst
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
  EXPECT_GT(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
  EXPECT_EQ(buckets.try_acquire("team_without_rate", TimePoint{}), 0ms);
}

TEST(TokenBuckets, KeepsTokensWhenRatesAreReplacedAndForgetsRemovedTeams) {
  rate_limit::TokenBuckets buckets;
  buckets.replace_rates({{"portal", {1, 10}}, {"removed", {1, 1}}}, TimePoint{});
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(buckets.try_acquire("portal", TimePoint{}), 0ms);
  buckets.replace_rates({{"portal", {1, 20}}, {"new", {1, 1}}}, TimePoint{});
  EXPECT_EQ(buckets.size(), 2U);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint{}), 1s);  // used tokens stay used
  EXPECT_EQ(buckets.try_acquire("removed", TimePoint{}), 0ms);
  EXPECT_EQ(buckets.try_acquire("new", TimePoint{}), 0ms);
  buckets.replace_rates({{"portal", {1, 2}}}, TimePoint(100s));  // a smaller burst applies at once
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
  EXPECT_GT(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
}

}  // namespace
}  // namespace gorsebeam
