/// Tests of src/router/hashing.h.
#include "router/hashing.h"

#include <gtest/gtest.h>

#include <cstdint>

namespace gorsebeam::router {
namespace {

TEST(Hashing, MixesAsSplitmix64Does) {
  // The first two outputs of the published splitmix64 generator with seed 0.
  EXPECT_EQ(mix_hash(0), 0xe220a8397b1dcdafULL);
  EXPECT_EQ(mix_hash(0x9e3779b97f4a7c15ULL), 0x6e789e6aa1b965f4ULL);
}

TEST(Hashing, UnitIntervalStaysBelowOneWithMeanOfOneHalf) {
  constexpr std::uint64_t kKeys = 10'000;
  double sum = 0;
  for (std::uint64_t key = 0; key < kKeys; ++key) {
    const double value = unit_interval(key);
    ASSERT_GE(value, 0) << key;
    ASSERT_LT(value, 1) << key;
    sum += value;
  }
  EXPECT_NEAR(sum / kKeys, 0.5, 0.02);
}

TEST(Hashing, HashesTextAsMixedFnv1a) {
  EXPECT_EQ(hash_text(""), mix_hash(0xcbf29ce484222325ULL));
  EXPECT_EQ(hash_text("a"), mix_hash(0xaf63dc4c8601ec8cULL));
}

}  // namespace
}  // namespace gorsebeam::router
