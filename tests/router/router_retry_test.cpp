/// Tests which requests are retried, and which attempts may still be written to their endpoint.
#include "router_harness.h"

namespace gorsebeam::router_test {
namespace {

TEST(RouterRetry, FailsPlainWriteThatMayHaveRun) {
  RouterHarness harness;
  harness.list_healthy_group();
  const std::string id = harness.send_request(kPlainWrite, 1);
  harness.end_attempt(id, 1, AttemptStatus::Error);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);
  EXPECT_TRUE(harness.actions_of<RejectRequest>().empty());
  ASSERT_EQ(harness.actions_of<FailRequest>().size(), 1U);
}

TEST(RouterRetry, SendsPlainWriteAgainIfItNeverRan) {
  RouterHarness harness;
  harness.list_healthy_group();
  const std::string id = harness.send_request(kPlainWrite, 1);
  harness.end_attempt(id, 1, AttemptStatus::NotSent);
  EXPECT_EQ(harness.attempted_endpoint(), 1U);
}

TEST(RouterRetry, SendsKeyedWriteAgainOnlyWithinDeduplicationWindow) {
  RouterHarness harness;
  harness.list_healthy_group();
  const std::string id = harness.send_request(kKeyedWrite, 1);
  harness.now += 100ms;
  harness.end_attempt(id, 1, AttemptStatus::Error);
  EXPECT_EQ(harness.attempted_endpoint(), 1U) << "within the window the group drops the repeat";
  harness.now += 1450ms;
  harness.end_attempt(id, 1, AttemptStatus::Error, RequestState::Open, 1450ms, 1);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);
  EXPECT_EQ(harness.actions_of<FailRequest>().size(), 1U)
      << "the window is over, so no retry is possible and the write fails at once";
  EXPECT_TRUE(harness.actions_of<RejectRequest>().empty())
      << "a rejection would promise that the write is safe to send again";
  harness.actions.clear();
  harness.run_timers_for(600ms);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);
  EXPECT_TRUE(harness.has_no_final_answer());
}

/// The request's attempted endpoint with the lowest id, or kNoEndpoint.
EndpointId first_attempted_endpoint(const RouterHarness& harness, const std::string& request_id) {
  for (const auto& [id, endpoint] : harness.attempted_pairs)
    if (id == request_id)
      return endpoint;
  return kNoEndpoint;
}

// A connection can be established long after the decision, so the rules are checked again, with
// what is known then, right before the attempt is written.
TEST(RouterRetry, ChecksRulesAgainWhenAttemptIsWritten) {
  RouterHarness harness;
  harness.list_healthy_group();
  const std::string bounded = harness.send_request(kBoundedRead);
  const std::string eventual = harness.send_request(kEventualRead);
  const std::string disconnected = harness.send_request(kEventualRead);
  const std::string keyed = harness.send_request(kKeyedWrite, 1);
  const EndpointId eventual_endpoint = first_attempted_endpoint(harness, eventual);
  const auto is_allowed = [&harness](const std::string& id) {
    return harness.router.is_attempt_allowed(harness.now, id,
                                             first_attempted_endpoint(harness, id));
  };

  for (const std::string& id : {bounded, eventual, disconnected, keyed})
    EXPECT_TRUE(is_allowed(id)) << id;
  EXPECT_FALSE(harness.router.is_attempt_allowed(harness.now, "unknown", 1));
  EXPECT_FALSE(harness.router.is_attempt_allowed(harness.now, eventual, 99)) << "not listed";

  harness.deliver(ClientDisconnected{disconnected});
  EXPECT_FALSE(is_allowed(disconnected));

  // A keyed write that may have run is retried, and its connection is not established yet.
  harness.end_attempt(keyed, 1, AttemptStatus::Error);
  ASSERT_EQ(harness.attempted_endpoint(), 1U);
  EXPECT_TRUE(is_allowed(keyed));
  harness.now += 1490ms;
  EXPECT_TRUE(is_allowed(keyed)) << "the group drops repeats for 1.5 s";
  EXPECT_FALSE(is_allowed(bounded)) << "the known position is older than its bound";
  harness.now += 10ms;
  EXPECT_FALSE(is_allowed(keyed));
  EXPECT_TRUE(is_allowed(eventual));
  EXPECT_TRUE(harness.router.is_health_check_allowed(eventual_endpoint));

  harness.deliver_list({make_draining_endpoint(eventual_endpoint)}, EndpointList::Kind::Delta);
  EXPECT_FALSE(is_allowed(eventual));
  EXPECT_FALSE(harness.router.is_health_check_allowed(eventual_endpoint));

  harness.now += 1000ms;
  EXPECT_FALSE(is_allowed(keyed)) << "its deadline has passed";
}

TEST(RouterRetry, SendsNothingAfterFinalAnswer) {
  RouterHarness harness;
  harness.list_healthy_group();
  const std::string id = harness.send_request(kEventualRead);
  harness.deliver(ClientDisconnected{id});
  harness.end_attempt(id, 2, AttemptStatus::Reset);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);
  EXPECT_TRUE(harness.has_no_final_answer());
}

}  // namespace
}  // namespace gorsebeam::router_test
