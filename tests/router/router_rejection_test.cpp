/// Tests when the router itself gives a request its final answer, and with which Retry-After.
#include "router_harness.h"

namespace gorsebeam::router_test {
namespace {

TEST(RouterRejection, RejectsUnservedRequestBeforeItsDeadline) {
  RouterHarness harness;  // The router knows no endpoint.
  const std::string id = harness.send_request(kEventualRead);
  harness.actions.clear();
  harness.run_timers_for(2000ms);
  ASSERT_EQ(harness.actions_of<RejectRequest>().size(), 1U);
  EXPECT_EQ(harness.actions_of<RejectRequest>()[0].request_id, id);
}

TEST(RouterRejection, AdvisesRetryAfterWhereAllowed) {
  Settings settings = default_settings();
  settings.retry_after_allowed = true;
  settings.max_retry_after = 700ms;
  RouterHarness harness(settings);
  harness.send_request(kPlainWrite, 1);
  harness.actions.clear();
  harness.run_timers_for(2000ms);
  ASSERT_EQ(harness.actions_of<RejectRequest>().size(), 1U);
  EXPECT_GT(harness.actions_of<RejectRequest>()[0].retry_after, 0ms);
  EXPECT_LE(harness.actions_of<RejectRequest>()[0].retry_after, 700ms);
}

TEST(RouterRejection, RejectsWritesAtHalfOfTheirTimeDuringElectionOnly) {
  for (const bool election : {true, false}) {
    RouterHarness harness;
    harness.list_healthy_group();
    const std::string first = harness.send_request(kPlainWrite);
    const std::string second = harness.send_request(kPlainWrite);
    harness.now += 10ms;
    if (election) {
      harness.reject_write_as_replica(first);
    } else {  // The primary is only suspected.
      harness.end_attempt(first, 1, AttemptStatus::Reset, RequestState::Finished);
      harness.end_attempt(second, 1, AttemptStatus::Reset, RequestState::Finished);
    }
    harness.run_timers_for(1100ms);
    // One write per 100 ms is sent to find the primary; the others wait.
    for (int i = 0; i < 30; ++i)
      harness.send_request(kPlainWrite);

    harness.run_timers_for(900ms);
    EXPECT_TRUE(harness.actions_of<RejectRequest>().empty());
    harness.run_timers_for(100ms);
    EXPECT_EQ(harness.actions_of<RejectRequest>().size() >= 15, election)
        << harness.actions_of<RejectRequest>().size();
  }
}

}  // namespace
}  // namespace gorsebeam::router_test
