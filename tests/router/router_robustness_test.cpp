/// Tests unexpected events, determinism, timers and invalid settings.
#include "router_harness.h"

#include <stdexcept>

namespace gorsebeam::router_test {
namespace {

TEST(RouterRobustness, IgnoresEventsAboutUnknownRequestsAndEndpoints) {
  RouterHarness harness;
  harness.deliver(ClientDisconnected{"nobody"});
  harness.answer("nobody", 99);
  harness.deliver(HealthCheckResult{99, true, 0ms, {}});
  harness.deliver(EndpointList{EndpointList::Kind::Failed, {}});
  harness.deliver_list({});
  Request request;
  request.id = "x";
  request.class_index = 77;
  harness.deliver(request);

  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);
}

TEST(RouterTimer, IdleRouterSetsNoTimerAndSendsNoHealthCheck) {
  RouterHarness harness;
  harness.list_healthy_group();
  harness.actions.clear();
  harness.run_timers_for(5000ms);
  EXPECT_TRUE(harness.actions_of<SendHealthCheck>().empty());
  EXPECT_TRUE(harness.actions_of<SetTimer>().empty());
}

TEST(RouterDeterminism, SameEventsGiveSameActions) {
  const auto run = [] {
    RouterHarness harness;
    harness.list_healthy_group();
    std::string attempts;
    const auto append_attempts = [&] {
      for (const StartAttempt& attempt : harness.actions_of<StartAttempt>())
        attempts += attempt.request_id + ">" + std::to_string(attempt.endpoint) + " ";
    };
    for (std::uint64_t i = 0; i < 50; ++i) {
      const std::string id = harness.send_request(i % 5, i % 7, 30ms);
      append_attempts();
      const EndpointId endpoint = harness.attempted_endpoint();
      if (endpoint != kNoEndpoint && i % 6 == 0)
        harness.end_attempt(id, endpoint, AttemptStatus::Reset);
      else if (endpoint != kNoEndpoint)
        harness.answer(id, endpoint);
      append_attempts();
      harness.now += 3ms;
    }
    return attempts;
  };
  EXPECT_EQ(run(), run());
}

/// The message with which a router's constructor rejects the settings; empty if it accepts them.
std::string rejection_message(Settings settings) {
  try {
    const Router router(std::move(settings), 1);
  } catch (const std::invalid_argument& error) {
    return error.what();
  }
  return "";
}

TEST(RouterSettings, RejectsInvalidSettingByName) {
  Settings negative_staleness = default_settings();
  negative_staleness.classes[kBoundedRead].max_staleness = -1ns;
  Settings no_attempts = default_settings();
  no_attempts.max_attempts = 0;

  EXPECT_NE(rejection_message(Settings{}).find("classes"), std::string::npos);
  EXPECT_NE(rejection_message(negative_staleness).find("max_staleness"), std::string::npos);
  EXPECT_NE(rejection_message(no_attempts).find("max_attempts"), std::string::npos);
  EXPECT_EQ(rejection_message(default_settings()), "");
}

}  // namespace
}  // namespace gorsebeam::router_test
