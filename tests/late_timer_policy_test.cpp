#include "net/late_timer_policy.h"

#include <gtest/gtest.h>

#include <vector>

namespace gorsebeam::net {
namespace {

constexpr TimePoint kNow(1000s);

struct DecisionCase {
  const char* name;
  Duration late_by;
  Duration deferral_age;  ///< How long ago timers were deferred.
  TimerDecision decision;
};

TEST(LateTimerPolicy, DefersALateTimerOnce) {
  const std::vector<DecisionCase> cases = {
      {"in time", 0ms, 1000ms, TimerDecision::Fire},
      {"20 ms late", 20ms, 1000ms, TimerDecision::Fire},
      {"later than 20 ms", 20ms + 1ns, 1000ms, TimerDecision::Defer},
      {"deferred already", 500ms, 500ms, TimerDecision::Fire},
      {"due after the deferral and late again", 499ms, 500ms, TimerDecision::Defer},
  };
  for (const DecisionCase& test : cases) {
    LateTimerPolicy policy;
    policy.record_deferral(kNow - test.deferral_age);
    EXPECT_EQ(policy.decide(kNow - test.late_by, kNow), test.decision) << test.name;
  }
}

TEST(LateTimerPolicy, LogsLatenessOnceAndOnlyAboveTheThreshold) {
  LateTimerPolicy policy;
  EXPECT_EQ(policy.lateness_to_log(kNow - 100ms, kNow), std::nullopt);
  EXPECT_EQ(policy.lateness_to_log(kNow - 101ms, kNow), 101ms);
  policy.record_deferral(kNow);
  EXPECT_EQ(policy.lateness_to_log(kNow - 101ms, kNow + 1ms), std::nullopt);
}

}  // namespace
}  // namespace gorsebeam::net
