/// Tests when the router sheds load because endpoints answer slowly.
#include "router_harness.h"

#include <cmath>

namespace gorsebeam::router_test {
namespace {

TEST(RouterLoad, SlowAnswersShedLowestPriorityFirst) {
  Settings settings = default_settings();
  settings.classes[kEventualRead].priority_weight = 1;
  settings.classes[kBoundedRead].priority_weight = 10;
  RouterHarness harness(settings);
  harness.list_healthy_group();
  std::map<std::size_t, int> attempts;  // By class.
  for (int i = 0; i < 400; ++i) {
    const std::size_t class_index = i % 2 == 1 ? kEventualRead : kBoundedRead;
    if (i % 20 == 0)
      for (const EndpointId id : {2U, 3U, 4U})
        harness.report_health(id, Role::Replica, 20ms);
    const std::string id = harness.send_request(class_index);
    if (harness.attempted_endpoint() != kNoEndpoint) {
      ++attempts[class_index];
      harness.answer(id, harness.attempted_endpoint(), 290ms);
    } else {
      harness.deliver(ClientDisconnected{id});
    }
    harness.now += 1ms;
  }

  EXPECT_LT(attempts[kEventualRead] + attempts[kBoundedRead], 250);
  EXPECT_LT(attempts[kEventualRead], attempts[kBoundedRead]);
}

/// Generates latencies with an exponential distribution, the same on each platform.
class LatencySource {
public:
  Duration next(double mean_in_milliseconds) {
    state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    const double uniform = static_cast<double>(state_ >> 11) / 9007199254740992.0;
    const double milliseconds = -mean_in_milliseconds * std::log(1 - uniform);
    return std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
  }

private:
  std::uint64_t state_ = 1;
};

// In a system without overload, each of a hundred routers gets three answers in two seconds, with
// typical latencies. A router that mistakes their random variation for overload would reject
// requests without need.
TEST(RouterLoad, FewAnswersShowNoOverload) {
  int requests = 0;
  int not_attempted = 0;
  LatencySource latencies;
  for (int router = 0; router < 100; ++router) {
    RouterHarness harness;
    harness.deliver_list({make_endpoint(1), make_endpoint(2)});
    harness.report_health(1, Role::Primary, 0ms);
    for (int i = 0; i < 40; ++i) {
      const std::string id = harness.send_request(kStrongRead);
      const EndpointId endpoint = harness.attempted_endpoint();
      const Duration latency = latencies.next(90);  // In ms; the objective is 300 ms.
      ++requests;
      if (endpoint == kNoEndpoint) {
        ++not_attempted;
        harness.deliver(ClientDisconnected{id});
      } else {
        harness.answer(id, endpoint, latency);
      }
      harness.run_timers_for(660ms);
    }
  }

  EXPECT_LT(not_attempted, requests / 50);
}

TEST(RouterLoad, LostAnswersAmongFastOnesShedNoLoad) {
  RouterHarness harness;
  harness.list_healthy_group();
  int attempts = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string id = harness.send_request(kEventualRead);
    const EndpointId endpoint = harness.attempted_endpoint();
    if (endpoint != kNoEndpoint)
      ++attempts;
    if (endpoint != kNoEndpoint && i % 4 != 0)
      harness.answer(id, endpoint);
    harness.run_timers_for(10ms);
  }

  EXPECT_GT(attempts, 270);
}

}  // namespace
}  // namespace gorsebeam::router_test
