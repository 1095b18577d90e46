#include "net/arrival_bound.h"

#include <gtest/gtest.h>

#include <vector>

namespace gorsebeam::net {
namespace {

constexpr TimePoint kStart(1000s);

struct PollCase {
  const char* name;
  Duration began_after;  ///< All times are relative to `kStart`, when the previous poll ended.
  Duration ended_after;
  Duration timeout;
  Duration bound;
};

TEST(LoopArrivalBound, IsComputedFromTheTimesOfThePoll) {
  const std::vector<PollCase> cases = {
      {"waited and returned in time", 5ms, 50ms, 100ms, 50ms},
      {"waited until its timeout", 5ms, 105ms, 100ms, 105ms},
      {"returned less than 20 ms late", 5ms, 124ms, 100ms, 124ms},
      {"returned 20 ms late: input may have arrived since it began", 5ms, 125ms, 100ms, 5ms},
      {"returned at once: input may have arrived since the previous poll", 5ms, 14ms, 100ms, 0ms},
      {"took 10 ms: it waited", 5ms, 15ms, 100ms, 15ms},
  };
  for (const PollCase& test : cases) {
    LoopArrivalBound bound(kStart);
    bound.record({kStart + test.began_after, kStart + test.ended_after, test.timeout});
    EXPECT_EQ(bound.earliest_arrival(), kStart + test.bound) << test.name;
  }
}

TEST(LoopArrivalBound, IsTheBeginningOfALatePollIfTheNextPollReturnsAtOnce) {
  LoopArrivalBound bound(kStart);
  bound.record({kStart + 10ms, kStart + 900ms, 100ms});
  bound.record({kStart + 901ms, kStart + 902ms, 100ms});
  EXPECT_EQ(bound.earliest_arrival(), kStart + 10ms);
}

struct UseCase {
  const char* name;
  std::uint64_t iteration;  ///< The previous use was in iteration 7.
  Duration age;             ///< Time since `kStart`, the bound at the previous use.
  Duration loop_bound;
  Duration bound;
};

TEST(ReadinessBound, IsKeptWhileUseContinuesAfterAStall) {
  const std::vector<UseCase> cases = {
      {"next iteration after a stall", 8, 21ms, 20ms, 0ms},
      {"same iteration after a stall", 7, 21ms, 20ms, 0ms},
      {"no stall", 8, 20ms, 19ms, 19ms},
      {"an iteration without use", 9, 21ms, 20ms, 20ms},
      {"the loop's bound is earlier", 8, 21ms, -1ms, -1ms},
  };
  for (const UseCase& test : cases) {
    ReadinessBound bound(7, kStart);
    bound.record_use({kStart + test.age, test.iteration, kStart + test.loop_bound});
    EXPECT_EQ(bound.earliest(), kStart + test.bound) << test.name;
  }
}

TEST(ReadinessBound, IsKeptAcrossASuspension) {
  ReadinessBound bound(7, kStart);
  bound.record_resumed(12);
  bound.record_use({kStart + 30ms, 13, kStart + 29ms});
  EXPECT_EQ(bound.earliest(), kStart);
}

}  // namespace
}  // namespace gorsebeam::net
