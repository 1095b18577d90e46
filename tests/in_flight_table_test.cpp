// Tests that attempts and health checks end once and that ids of attempts are not reused.
#include "proxy/in_flight_table.h"

#include <gtest/gtest.h>

#include <optional>

using namespace gorsebeam;
using namespace gorsebeam::proxy;

namespace {

TEST(InFlightTable, RemovesAnAttemptOnce) {
  InFlightTable table;
  const AttemptId first = table.add_attempt({"r", 0, 7, TimePoint(1s), std::nullopt});
  ASSERT_NE(table.find_attempt(first), nullptr);
  table.find_attempt(first)->written_at = TimePoint(2s);
  const auto removed = table.remove_attempt(first);
  ASSERT_TRUE(removed);
  EXPECT_EQ(removed->request_id, "r");
  EXPECT_EQ(removed->written_at, TimePoint(2s));
  EXPECT_EQ(table.find_attempt(first), nullptr);
  EXPECT_FALSE(table.remove_attempt(first));
  EXPECT_NE(table.add_attempt({"r", 1, 7, TimePoint(3s), std::nullopt}), first);
}

TEST(InFlightTable, ReturnsTheLastStartOfAHealthCheckOnce) {
  InFlightTable table;
  table.add_health_check(7, TimePoint(1s));
  table.add_health_check(7, TimePoint(2s));
  EXPECT_EQ(table.remove_health_check(7), TimePoint(2s));
  EXPECT_EQ(table.remove_health_check(7), std::nullopt);
}

}  // namespace
