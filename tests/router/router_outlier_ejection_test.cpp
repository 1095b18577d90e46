/// Tests which endpoints are ejected, and when they get recovery attempts.
#include "router_harness.h"

namespace gorsebeam::router_test {
namespace {

TEST(RouterOutlierEjection, EjectsAfterTwoConsecutiveTimeouts) {
  Settings settings = default_settings();
  settings.hedging_allowed = true;
  RouterHarness harness(settings);
  harness.list_healthy_group();
  int unanswered = 0;
  for (int i = 0; i < 30; ++i) {
    const std::string id = harness.send_request(kEventualRead);
    ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
    if (harness.attempted_endpoint() == 3U)
      ++unanswered;
    else
      harness.answer(id, harness.attempted_endpoint());
  }
  ASSERT_GE(unanswered, 2);

  harness.actions.clear();
  harness.run_timers_for(1000ms);

  EXPECT_EQ(harness.count_timeout_ejections(3), 1);
}

TEST(RouterOutlierEjection, EjectsAfterConnectionFailure) {
  RouterHarness harness;
  harness.list_healthy_group();
  std::string id;
  do {
    id = harness.send_request(kEventualRead);
    if (harness.attempted_endpoint() != 3U)
      harness.answer(id, harness.attempted_endpoint());
  } while (harness.attempted_endpoint() != 3U);

  harness.end_attempt(id, 3, AttemptStatus::ConnectFailed);

  EXPECT_NE(harness.attempted_endpoint(), kNoEndpoint);
  EXPECT_NE(harness.attempted_endpoint(), 3U) << "the read goes on to another replica";
  for (int i = 0; i < 40; ++i) {
    const std::string next = harness.send_request(kEventualRead);
    ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
    EXPECT_NE(harness.attempted_endpoint(), 3U);
    harness.answer(next, harness.attempted_endpoint());
  }
}

TEST(RouterOutlierEjection, ReadsTryUncheckedEndpointsWhenHealthChecksFail) {
  Settings settings = default_settings();
  settings.staleness_check = StalenessCheck::Reject;
  RouterHarness harness(settings);
  harness.deliver_list({make_endpoint(1), make_endpoint(2), make_endpoint(3)});
  for (const EndpointId id : {1U, 2U, 3U})
    harness.fail_health_check(id);

  int served = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string id = harness.send_request(kEventualRead);
    if (harness.attempted_endpoint() == kNoEndpoint)
      continue;
    ++served;
    harness.answer(id, harness.attempted_endpoint());
  }

  EXPECT_GE(served, 18);
}

TEST(RouterOutlierEjection, RecoveryAttemptsTakeNoMoreThanTheirLoadShare) {
  int recovery_attempts = 0;
  for (int router = 0; router < 200; ++router) {
    RouterHarness harness;
    harness.list_healthy_group();
    harness.deliver_list({make_endpoint(5)}, EndpointList::Kind::Delta);
    harness.fail_health_check(5);
    harness.next_request_number = router;
    harness.send_request(kEventualRead);
    if (harness.attempted_endpoint() == 5U)
      ++recovery_attempts;
  }

  EXPECT_GT(recovery_attempts, 0);
  EXPECT_LE(recovery_attempts, 200 / 5 * 2);
}

TEST(RouterOutlierEjection, DelayedAnswersEjectNoEndpoint) {
  RouterHarness harness;
  harness.list_healthy_group();
  std::vector<std::pair<std::string, EndpointId>> in_flight;
  for (int i = 0; i < 30; ++i) {
    const std::string id = harness.send_request(kEventualRead);
    ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
    in_flight.emplace_back(id, harness.attempted_endpoint());
  }

  harness.now += 1500ms;  // The answers arrived long before the router handles them.
  for (const auto& [id, endpoint] : in_flight) {
    harness.answer(id, endpoint, 20ms);
    EXPECT_EQ(harness.count_timeout_ejections(), 0);
  }
  harness.send_request(kEventualRead);
  EXPECT_NE(harness.attempted_endpoint(), kNoEndpoint);
}

TEST(RouterOutlierEjection, RouterStallEjectsNoEndpoint) {
  for (const bool stalled : {true, false}) {
    RouterHarness harness;
    harness.list_healthy_group();
    for (int i = 0; i < 30; ++i)
      harness.send_request(kEventualRead);
    harness.actions.clear();
    if (stalled) {
      harness.now += 1000ms;  // The router handles the timer late, and before any answer.
      harness.deliver(TimerExpired{});
    } else {
      harness.run_timers_for(1000ms);
    }

    EXPECT_EQ(harness.count_timeout_ejections() > 0, !stalled);
  }
}

}  // namespace
}  // namespace gorsebeam::router_test
