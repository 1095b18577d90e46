// Tests when input must be read before something is decided.
#include "proxy/input_freshness.h"

#include <gtest/gtest.h>

using namespace gorsebeam;
using namespace gorsebeam::proxy;

namespace {

constexpr TimePoint kStart(100s);

TEST(InputFreshness, EndpointListIsStaleFromItsMaximumAgeOn) {
  InputFreshness freshness;
  EXPECT_TRUE(freshness.is_endpoint_list_stale(kStart)) << "it was never read";
  freshness.record_endpoint_list_read(kStart);
  EXPECT_FALSE(freshness.is_endpoint_list_stale(kStart + 20ms - 1ns));
  EXPECT_TRUE(freshness.is_endpoint_list_stale(kStart + 20ms));
}

TEST(InputFreshness, ResponsesAreStaleOnlyWhileTheEventLoopIsStalled) {
  InputFreshness freshness;
  EXPECT_FALSE(freshness.are_responses_stale(kStart, kStart - 40ms));
  EXPECT_TRUE(freshness.are_responses_stale(kStart, kStart - 40ms - 1ns));
}

TEST(InputFreshness, ResponsesAreReadAtMostOnceInTheirMaximumAge) {
  InputFreshness freshness;
  freshness.record_responses_read(kStart);
  EXPECT_FALSE(freshness.are_responses_stale(kStart + 40ms - 1ns, kStart - 1s));
  EXPECT_TRUE(freshness.are_responses_stale(kStart + 40ms, kStart - 1s));
}

}  // namespace
