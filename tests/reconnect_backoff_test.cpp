#include "discovery/reconnect_backoff.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <vector>

namespace gorsebeam::discovery {
namespace {

/// Simulates a discovery service that processes one call at a time and takes 50 ms for each, even
/// if its caller has given up after 2 s. All `gateways` lose their watches at time 0. Returns how
/// many have reopened their watches by `end`.
std::size_t reopened_by(std::size_t gateways, Duration end) {
  std::vector<ReconnectBackoff> backoffs;
  std::multimap<Duration, std::size_t> calls;
  std::deque<std::pair<Duration, std::size_t>> queue;  // the arrival and the gateway of each call
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

TEST(ReconnectBackoff, LetsAHundredGatewaysReopenWatchesThatEndedTogether) {
  EXPECT_EQ(reopened_by(100, 10'000ms), 100U);
  EXPECT_EQ(reopened_by(3, 500ms), 3U);  // a few gateways need no long delays
}

TEST(ReconnectBackoff, DoublesTheMaximumDelayUpToALimitAndResetsItOnAList) {
  ReconnectBackoff few(3, DiscoveryService::Shared, 7);
  ReconnectBackoff many(100, DiscoveryService::Shared, 7);
  ReconnectBackoff agents(300, DiscoveryService::LocalAgent, 7);
  for (const Duration max_delay : {250ms, 500ms, 1000ms, 2000ms, 2000ms}) {
    const Duration delay = few.next_delay(WatchEnd::Closed);
    EXPECT_GT(delay, max_delay / 8);
    EXPECT_LE(delay, max_delay);
    EXPECT_LE(many.next_delay(WatchEnd::Closed), 20 * max_delay);
    EXPECT_LE(agents.next_delay(WatchEnd::Closed),
              50ms);  // calls to a local agent load no shared service
  }
  few.record_list_received();
  EXPECT_LE(few.next_delay(WatchEnd::Closed), 250ms);
}

// From 6 s after the last byte of a silent watch, the gateway counts as notified of the changes
// that the watch lost, however many gateways share the service. The watch must be reopened
// within 4.5 s, which leaves 1.5 s for the response.
TEST(ReconnectBackoff, ReopensASilentWatchInTimeForAResponse) {
  for (const DiscoveryService service : {DiscoveryService::LocalAgent, DiscoveryService::Shared}) {
    // The timeout is longer for a shared service, where the call may wait in a queue.
    const Duration first_timeout = service == DiscoveryService::Shared ? 5000ms : 2500ms;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
      ReconnectBackoff backoff(300, service, seed);
      EXPECT_EQ(backoff.silence_timeout(), first_timeout);
      backoff.record_list_received();
      const Duration silence_timeout = backoff.silence_timeout();
      EXPECT_GT(silence_timeout, 2000ms);  // the service sends a heartbeat every 2 s
      EXPECT_LE(silence_timeout + backoff.next_delay(WatchEnd::Silent), 4500ms);
      EXPECT_EQ(backoff.silence_timeout(),
                first_timeout);  // the reopened watch has delivered no list yet
    }
  }
}

}  // namespace
}  // namespace gorsebeam::discovery
