/// Tests how many requests an endpoint in slow start gets, and which endpoints count as restarted.
#include "router_harness.h"

#include <algorithm>

namespace gorsebeam::router_test {
namespace {

TEST(RouterSlowStart, StartedEndpointGetsNoMoreThanItsCapacity) {
  // So slow that the endpoints in use are known to serve more than one request at a time.
  constexpr Duration kLatency = 40ms;
  RouterHarness harness;
  harness.list_healthy_group();
  harness.deliver_list({make_endpoint(3, harness.now)}, EndpointList::Kind::Delta);
  std::map<EndpointId, int> attempts;
  for (int i = 0; i < 300; ++i) {
    const std::string id = harness.send_request(kEventualRead);
    ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
    ++attempts[harness.attempted_endpoint()];
    harness.answer(id, harness.attempted_endpoint(), kLatency);
    harness.now += 5ms;
  }

  // Within these 1.5 s, the endpoint's capacity rises from 0.2 to 0.32 of its full capacity.
  EXPECT_LE(attempts[3], 0.35 * std::max(attempts[2], attempts[4]));
  EXPECT_GT(attempts[3], 0);
}

// A hundred new routers get 2000 requests within 0.4 s for a primary that has just started. They
// know nothing of its capacity, so they together send what an endpoint can take that serves one
// request at a time.
TEST(RouterSlowStart, NewRoutersAssumeTheLeastCapacityOfAStartedPrimary) {
  constexpr int kRouters = 100;
  Settings settings = default_settings();
  settings.router_count = kRouters;
  int attempts = 0;
  for (int router = 0; router < kRouters; ++router) {
    RouterHarness harness(settings, static_cast<std::uint64_t>(router));
    harness.deliver_list({make_endpoint(1, harness.now), make_endpoint(3)});
    harness.now += 20ms;
    harness.report_health(1, Role::Primary, 0ms);
    harness.next_request_number = router * 1000;  // Distinguishes the routers' request ids.
    for (int i = 0; i < 20; ++i) {
      const std::string id = harness.send_request(kStrongRead);
      if (harness.attempted_endpoint() != kNoEndpoint) {
        ++attempts;
        harness.answer(id, 1);
      } else {
        harness.deliver(ClientDisconnected{id});
      }
      harness.now += 20ms;
    }
  }

  // A request is assumed to take a fifth of its objective of 300 ms. The primary's capacity rises
  // from 0.2 to 0.23 of 17 requests per second, and twice that for two seconds would overload it.
  EXPECT_GT(attempts, 0);
  EXPECT_LE(attempts, 2 * 0.23 * 17 * 2);
}

TEST(RouterSlowStart, EndpointThatReturnsAtOnceHasNotRestarted) {
  for (const Duration absence : {10ms, 400ms}) {
    Settings settings = default_settings();
    settings.connect_timeout = 250ms;
    RouterHarness harness(settings);
    harness.list_healthy_group();
    const std::string first = harness.send_request(kPlainWrite);
    const std::string second = harness.send_request(kPlainWrite);
    harness.now += 200ms;
    harness.end_attempt(first, 1, AttemptStatus::Reset, RequestState::Finished, 1ms);
    harness.end_attempt(second, 1, AttemptStatus::ConnectFailed, RequestState::Finished, 1ms);
    harness.now += absence;
    harness.report_health(1, Role::Primary, 0ms);

    int attempts = 0;
    for (int i = 0; i < 40; ++i) {
      const std::string id = harness.send_request(kPlainWrite);
      if (harness.attempted_endpoint() == kNoEndpoint)
        continue;
      ++attempts;
      harness.answer(id, 1);
    }

    // After 400 ms the endpoint may have restarted, so it is in slow start and gets fewer writes.
    EXPECT_EQ(attempts == 40, absence < 300ms) << attempts;
  }
}

/// Sends reads until endpoint 1 answers one. After timeouts a health check does not readmit an
/// endpoint, so it stays ejected until a read is sent to it as a recovery attempt.
void wait_for_recovery_attempt(RouterHarness& harness) {
  for (int reads = 0; reads < 1000; ++reads) {
    harness.run_timers_for(10ms);
    harness.report_health(1, Role::Primary, 0ms);
    const std::string id = harness.send_request(kEventualRead);
    const EndpointId endpoint = harness.attempted_endpoint();
    if (endpoint != kNoEndpoint)
      harness.answer(id, endpoint);
    if (endpoint == 1U)
      return;
  }
  FAIL() << "no recovery attempt within 1000 reads";
}

// A slow endpoint resets connections, but answers a request between the resets, or a health check
// soon after them. So it has not restarted, and is not held to the capacity of a slow start.
TEST(RouterSlowStart, SlowEndpointWithResetsHasNotRestarted) {
  for (const bool answers_between : {true, false}) {
    Settings settings = default_settings();
    settings.slow_start_duration = 60'000ms;
    RouterHarness harness(settings);
    harness.list_healthy_group();
    std::vector<std::string> writes;
    writes.reserve(4);
    for (int i = 0; i < 4; ++i)
      writes.push_back(harness.send_request(kPlainWrite));
    harness.run_timers_for(700ms);  // No write is answered, so endpoint 1 is ejected.
    harness.end_attempt(writes[0], 1, AttemptStatus::Reset, RequestState::Finished, 700ms);
    if (answers_between) {
      harness.answer(writes[1], 1, 700ms);
      harness.run_timers_for(400ms);
    }
    harness.end_attempt(writes[2], 1, AttemptStatus::Reset, RequestState::Finished, 700ms);
    harness.now += answers_between ? 400ms : 100ms;
    harness.report_health(1, Role::Primary, 0ms);
    ASSERT_NO_FATAL_FAILURE(wait_for_recovery_attempt(harness));
    // After 20 s the slow answers have decayed, while a slow start of 60 s would still last.
    harness.run_timers_for(20'000ms);

    for (int i = 0; i < 40; ++i) {
      const std::string id = harness.send_request(kPlainWrite);
      ASSERT_EQ(harness.attempted_endpoint(), 1U)
          << "write " << i << " was held back as in a slow start";
      harness.answer(id, 1);
    }
  }
}

TEST(RouterSlowStart, ConnectTimeoutIsNoRestart) {
  for (const bool refused : {false, true}) {
    Settings settings = default_settings();
    settings.connect_timeout = 250ms;
    RouterHarness harness(settings);
    harness.list_healthy_group();
    // Endpoint 3 is ejected after two connections that are refused at once, or one that times out.
    const int failures_wanted = refused ? 2 : 1;
    const Duration elapsed = refused ? 1ms : 250ms;
    int failures = 0;
    for (int reads = 0; failures < failures_wanted; ++reads) {
      ASSERT_LT(reads, 1000) << "endpoint 3 is ejected after " << failures << " failures";
      const std::string id = harness.send_request(kEventualRead);
      if (harness.attempted_endpoint() != 3U) {
        harness.answer(id, harness.attempted_endpoint());
        continue;
      }
      ++failures;
      harness.end_attempt(id, 3, AttemptStatus::ConnectFailed, RequestState::Finished, elapsed);
    }
    harness.now += 350ms;
    harness.report_health(3, Role::Replica, 0ms);

    int attempts = 0;
    for (int i = 0; i < 300; ++i) {
      const std::string id = harness.send_request(kEventualRead);
      ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
      if (harness.attempted_endpoint() == 3U)
        ++attempts;
      harness.answer(id, harness.attempted_endpoint());
    }

    if (refused)
      EXPECT_LT(attempts, 40) << "endpoint 3 may have restarted, so it is in slow start";
    else
      EXPECT_GT(attempts, 60) << "endpoint 3 has not restarted";
  }
}

}  // namespace
}  // namespace gorsebeam::router_test
