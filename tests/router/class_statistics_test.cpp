/// Tests of src/router/class_statistics.h.
#include "router/class_statistics.h"

#include <gtest/gtest.h>

#include <vector>

namespace gorsebeam::router {
namespace {

std::vector<RequestClass> two_classes() {
  std::vector<RequestClass> classes(2);
  classes[0].latency_objective = 1000ns;
  classes[1].latency_objective = 5000ns;
  return classes;
}

TEST(ClassStatistics, StartsAtAFifthOfTheObjectiveWithoutTraffic) {
  const ClassStatistics statistics(two_classes());
  EXPECT_DOUBLE_EQ(statistics.typical_latency(0), 200);
  EXPECT_DOUBLE_EQ(statistics.typical_latency(1), 1000);
  EXPECT_DOUBLE_EQ(statistics.traffic(0), 0);
}

TEST(ClassStatistics, AnswersMoveTheTypicalLatencyTowardsTheMedian) {
  ClassStatistics statistics(two_classes());
  statistics.record_answer(0, 300);
  EXPECT_DOUBLE_EQ(statistics.typical_latency(0), 200 * 1.02);
  statistics.record_answer(0, 100);
  EXPECT_DOUBLE_EQ(statistics.typical_latency(0), 200 * 1.02 * 0.98);
  EXPECT_DOUBLE_EQ(statistics.typical_latency(1), 1000);
}

TEST(ClassStatistics, AnOverdueAttemptCountsAsASlowAnswer) {
  ClassStatistics statistics(two_classes());
  statistics.record_overdue(1);
  EXPECT_DOUBLE_EQ(statistics.typical_latency(1), 1000 * 1.02);
}

TEST(ClassStatistics, TrafficOfAllClassesDecaysWithEachRequest) {
  ClassStatistics statistics(two_classes());
  statistics.record_request(0);
  statistics.record_request(1);
  EXPECT_DOUBLE_EQ(statistics.traffic(0), 0.98);
  EXPECT_DOUBLE_EQ(statistics.traffic(1), 1);
}

}  // namespace
}  // namespace gorsebeam::router
