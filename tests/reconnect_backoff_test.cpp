#include "discovery/reconnect_backoff.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <vector>

namespace gorsebeam::discovery {
namespace {
constexpr Nanos ms = 1'000'000;

// A discovery that takes 50 ms for each call, in turn, also for those whose caller gave up after 2
// s. `gateways` lose their watch at 0. Returns how many have it again by `end`.
std::size_t back_by(std::size_t gateways, Nanos end) {
  std::vector<ReconnectBackoff> paces;
  std::multimap<Nanos, std::size_t> calls;
  std::deque<std::pair<Nanos, std::size_t>> queue;  // when it came, and whose
  for (std::size_t i = 0; i < gateways; ++i) {
    paces.emplace_back(static_cast<std::uint32_t>(gateways), true, i);
    calls.insert({paces[i].next(false), i});
  }
  std::size_t back = 0;
  for (Nanos now = 0; now < end; now += 50 * ms) {
    for (; !calls.empty() && calls.begin()->first <= now; calls.erase(calls.begin())) {
      queue.push_back({calls.begin()->first, calls.begin()->second});
    }
    if (queue.empty())
      continue;
    const auto [came, gateway] = queue.front();
    queue.pop_front();
    const bool dead = now - came > 2000 * ms;
    back += !dead;
    if (dead)
      calls.insert({came + 2000 * ms + paces[gateway].next(true), gateway});
  }
  return back;
}

TEST(Pace, AHundredGatewaysThatLostTheirWatchAtOnceAllHaveItAgain) {
  EXPECT_EQ(back_by(100, 10'000 * ms), 100u);
  EXPECT_EQ(back_by(3, 500 * ms), 3u);  // and few need not wait for it
}

TEST(Pace, BoundsDoubleAndStartOver) {
  ReconnectBackoff few(3, true, 7), many(100, true, 7), agents(300, false, 7);
  for (const Nanos most : {250, 500, 1000, 2000, 2000}) {
    const Nanos wait = few.next(false);
    EXPECT_GT(wait, most / 8 * ms);
    EXPECT_LE(wait, most * ms);
    EXPECT_LE(many.next(false), 20 * most * ms);
    EXPECT_LE(agents.next(false),
              50 * ms);  // who asks an agent of its own harms nobody, and must never miss it long
  }
  few.heard();
  EXPECT_LE(few.next(false), 250 * ms);
}

// What a watch that fell silent misses counts as told 6 s later, at any number of gateways.
TEST(Pace, AfterASilenceTheNextCallIsMadeInTimeToBeAnswered) {
  for (const bool asked : {false, true}) {
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
      ReconnectBackoff pace(300, asked, seed);
      EXPECT_EQ(pace.silence(),
                asked ? 5000 * ms : 2500 * ms);  // a call in a queue is not given up
      pace.heard();
      const Nanos noticed = pace.silence();
      EXPECT_GT(noticed, 2000 * ms);  // the beat of a sound watch
      EXPECT_LE(noticed + pace.next(true), 4500 * ms);
      EXPECT_EQ(pace.silence(),
                asked ? 5000 * ms : 2500 * ms);  // nothing has come of that call yet
    }
  }
}

}  // namespace
}  // namespace gorsebeam::discovery
