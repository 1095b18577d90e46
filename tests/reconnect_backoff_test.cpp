#include "discovery/reconnect_backoff.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <vector>

namespace gorsebeam::discovery {
namespace {

/// A discovery service that works 50 ms on each call, in turn, also on those whose caller gave up
/// after 2 s. All `gateways` lose their watch at 0. Returns how many have reopened it by `end`.
std::size_t reopened_by(std::size_t gateways, Duration end) {
  std::vector<ReconnectBackoff> backoffs;
  std::multimap<Duration, std::size_t> calls;
  std::deque<std::pair<Duration, std::size_t>> queue;  // when each arrived, and whose
  for (std::size_t i = 0; i < gateways; ++i) {
    backoffs.emplace_back(static_cast<std::uint32_t>(gateways), DiscoveryService::Shared, i);
    calls.insert({backoffs[i].next_delay(WatchEnd::Closed), i});
  }
  std::size_t reopened = 0;
  for (Duration now{}; now < end; now += 50ms) {
    for (; !calls.empty() && calls.begin()->first <= now; calls.erase(calls.begin())) {
      queue.emplace_back(calls.begin()->first, calls.begin()->second);
    }
    if (queue.empty())
      continue;
    const auto [arrived, gateway] = queue.front();
    queue.pop_front();
    const bool abandoned = now - arrived > 2000ms;
    if (abandoned)
      calls.insert({arrived + 2000ms + backoffs[gateway].next_delay(WatchEnd::Silent), gateway});
    else
      ++reopened;
  }
  return reopened;
}

TEST(ReconnectBackoff, LetsAHundredGatewaysThatLostTheirWatchTogetherReopenIt) {
  EXPECT_EQ(reopened_by(100, 10'000ms), 100U);
  EXPECT_EQ(reopened_by(3, 500ms), 3U);  // few gateways need not wait long
}

TEST(ReconnectBackoff, DoublesItsBoundUpToAMaximumAndResetsOnAList) {
  ReconnectBackoff few(3, DiscoveryService::Shared, 7);
  ReconnectBackoff many(100, DiscoveryService::Shared, 7);
  ReconnectBackoff agents(300, DiscoveryService::LocalAgent, 7);
  for (const Duration bound : {250ms, 500ms, 1000ms, 2000ms, 2000ms}) {
    const Duration wait = few.next_delay(WatchEnd::Closed);
    EXPECT_GT(wait, bound / 8);
    EXPECT_LE(wait, bound);
    EXPECT_LE(many.next_delay(WatchEnd::Closed), 20 * bound);
    EXPECT_LE(agents.next_delay(WatchEnd::Closed),
              50ms);  // calls to a local agent cost nobody anything
  }
  few.record_list_received();
  EXPECT_LE(few.next_delay(WatchEnd::Closed), 250ms);
}

// What a silent watch misses counts as notified 6 s after its last byte, at any number of gateways.
TEST(ReconnectBackoff, ReopensASilentWatchInTimeForAnAnswer) {
  for (const DiscoveryService service : {DiscoveryService::LocalAgent, DiscoveryService::Shared}) {
    // A call that waits in the queue of a shared service is not given up.
    const Duration first_timeout = service == DiscoveryService::Shared ? 5000ms : 2500ms;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
      ReconnectBackoff backoff(300, service, seed);
      EXPECT_EQ(backoff.silence_timeout(), first_timeout);
      backoff.record_list_received();
      const Duration noticed = backoff.silence_timeout();
      EXPECT_GT(noticed, 2000ms);  // the heartbeat of a sound watch
      EXPECT_LE(noticed + backoff.next_delay(WatchEnd::Silent), 4500ms);
      EXPECT_EQ(backoff.silence_timeout(),
                first_timeout);  // that call was not answered yet
    }
  }
}

}  // namespace
}  // namespace gorsebeam::discovery
