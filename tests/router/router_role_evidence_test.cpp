/// Tests which endpoint counts as the primary of its group.
#include "router_harness.h"

namespace gorsebeam::router_test {
namespace {

TEST(RouterRoleEvidence, MisdirectedWriteWaitsForNewPrimary) {
  RouterHarness harness;
  harness.list_healthy_group();

  const std::string id = harness.send_request(kPlainWrite, 1);
  harness.now += 5ms;
  harness.reject_write_as_replica(id);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);

  harness.now += 200ms;
  harness.report_health(3, Role::Primary, 0ms);
  EXPECT_EQ(harness.attempted_endpoint(), 3U);
}

TEST(RouterRoleEvidence, IgnoresReportOlderThanItsResponse) {
  RouterHarness harness;
  harness.list_healthy_group();

  const std::string first = harness.send_request(kPlainWrite);
  ASSERT_EQ(harness.attempted_endpoint(), 1U);
  harness.now += 20ms;
  harness.reject_write_as_replica(first, {position_at(harness.now - 100ms), true});
  harness.send_request(kPlainWrite);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);

  harness.now += 10ms;
  harness.report_health(3, Role::Primary, 0ms);
  EXPECT_EQ(harness.attempted_endpoint(), 3U);
}

TEST(RouterRoleEvidence, IgnoresRoleOfReadStartedBeforeDemotion) {
  RouterHarness harness;
  harness.list_healthy_group();

  const std::string read = harness.send_request(kStrongRead);
  ASSERT_EQ(harness.attempted_endpoint(), 1U);
  harness.now += 50ms;
  const std::string write = harness.send_request(kKeyedWrite);
  ASSERT_EQ(harness.attempted_endpoint(), 1U);
  harness.now += 5ms;
  harness.reject_write_as_replica(write);
  harness.now += 5ms;
  harness.answer(read, 1, 60ms);  // The answer contains the role at the start of the read.
  harness.send_request(kKeyedWrite);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);

  harness.now += 30ms;
  harness.report_health(1, Role::Primary, 0ms);
  EXPECT_EQ(harness.attempted_endpoint(), 1U);
}

// Guards against stale reads at a lagging replica that a list still names as the primary: its own
// report was dated by its replication position, and so taken for older than the list.
TEST(RouterRoleEvidence, LaggingReplicaIsNoPrimaryAlthoughTheListNamesIt) {
  Settings settings = default_settings();
  settings.listed_role = ListedRole::AtStart;
  RouterHarness harness(settings);
  Endpoint former_primary = make_endpoint(1);
  former_primary.listed_as_primary = true;
  harness.deliver_list({former_primary, make_endpoint(2)});
  harness.now += 2ms;
  harness.report_health(1, Role::Replica, 5s);
  harness.report_health(2, Role::Replica, 20ms);

  harness.send_request(kBoundedRead);
  EXPECT_EQ(harness.attempted_endpoint(), 2U);
  harness.send_request(kStrongRead);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);
}

TEST(RouterRoleEvidence, PrimaryGetsWritesAgainAfterHealthCheck) {
  RouterHarness harness;
  harness.list_healthy_group();

  const std::string first = harness.send_request(kPlainWrite);
  const std::string second = harness.send_request(kPlainWrite);
  harness.now += 200ms;
  harness.end_attempt(first, 1, AttemptStatus::Reset);
  harness.send_request(kPlainWrite);
  EXPECT_EQ(harness.attempted_endpoint(), 1U) << "one reset does not suspect the primary";
  harness.end_attempt(second, 1, AttemptStatus::Reset);
  harness.send_request(kPlainWrite);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);

  harness.now += 10ms;
  harness.report_health(1, Role::Primary, 100ms);
  EXPECT_EQ(harness.attempted_endpoint(), 1U);
}

TEST(RouterRoleEvidence, RetriesEjectedPrimaryEarlyWhileItReportsItsRole) {
  for (const bool reports_role : {true, false}) {
    RouterHarness harness;
    harness.list_healthy_group();
    for (int i = 0; i < 40; ++i)
      harness.answer(harness.send_request(kPlainWrite), 1);
    harness.send_request(kPlainWrite);
    harness.send_request(kPlainWrite);
    // Neither write is answered: the primary is ejected, and gets no recovery attempt for 500 ms.
    harness.run_timers_for(300ms);

    const std::string id = harness.send_request(kPlainWrite);
    for (int i = 0; i < 4; ++i) {
      harness.run_timers_for(50ms);
      if (reports_role)
        harness.report_health(1, Role::Primary, 0ms);
    }

    EXPECT_EQ(harness.was_attempted(id, 1), reports_role);
  }
}

}  // namespace
}  // namespace gorsebeam::router_test
