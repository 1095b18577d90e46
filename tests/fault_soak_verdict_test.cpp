// Guards against a soak that passes although it saw violations: a delay of its own made the whole
// run invalid, and violations that no such delay explains counted for nothing.
#include "fault_soak/verdict.h"

#include <gtest/gtest.h>

#include <vector>

namespace fault_soak {
namespace {

constexpr Millis kDelayBegin = 1000;
constexpr Millis kDelay = 140;

class VerdictTest : public testing::Test {
protected:
  VerdictTest() {
    delays_.record_iteration(kDelayBegin - kMaxIteration, kDelayBegin);
    delays_.record_iteration(kDelayBegin, kDelayBegin + kDelay);
  }

  LoopDelays delays_;
};

Violation violation_explained_by(Millis delay, Millis since, Millis at) {
  return {"deadline", "", at, since, delay};
}

TEST_F(VerdictTest, CountsAViolationThatExceedsTheDelay) {
  const Violation violation = violation_explained_by(kDelay + 1, 900, 1200);
  EXPECT_EQ(delays_.unexplained({violation}).size(), 1U);
  EXPECT_EQ(delays_.judge({violation}), Verdict::Violated);
}

TEST_F(VerdictTest, DoesNotCountAViolationThatTheDelayExplains) {
  EXPECT_TRUE(delays_.unexplained({violation_explained_by(kDelay, 900, 1200)}).empty());
  EXPECT_EQ(delays_.judge({}), Verdict::Invalid);
}

TEST_F(VerdictTest, CountsAViolationBeforeOrAfterTheDelay) {
  const Violation before = violation_explained_by(1, 900, kDelayBegin - 1);
  const Violation after = violation_explained_by(1, kDelayBegin + kDelay + 1, 1300);
  EXPECT_EQ(delays_.unexplained({before, after}).size(), 2U);
}

TEST_F(VerdictTest, CountsAViolationThatNoDelayExplains) {
  const Violation crash{"crash", "", 1100, 1100, std::nullopt};
  EXPECT_EQ(delays_.unexplained({crash}).size(), 1U);
}

TEST(Verdict, IsCleanWithoutDelaysAndViolations) {
  LoopDelays delays;
  delays.record_iteration(0, kMaxIteration);
  EXPECT_EQ(delays.judge({}), Verdict::Clean);
  const Violation small = violation_explained_by(1, 0, 10);
  EXPECT_EQ(delays.unexplained({small}).size(), 1U) << "no iteration took too long";
}

TEST(Verdict, ExitsWithAnErrorForAnyViolationAndWithoutAnyCleanRun) {
  VerdictCounts counts;
  counts.add(Verdict::Invalid);
  EXPECT_EQ(exit_status(counts), 3);
  counts.add(Verdict::Clean);
  EXPECT_EQ(exit_status(counts), 0);
  counts.add(Verdict::Violated);
  EXPECT_EQ(exit_status(counts), 1);
}

}  // namespace
}  // namespace fault_soak
