/// Tests which endpoints count as current enough for a read.
#include "router_harness.h"

namespace gorsebeam::router_test {
namespace {

/// The answer of primary 1 to a write that was committed at `commit_position`.
AttemptResult make_write_result(const std::string& request_id, ReplicationPosition commit_position,
                                Duration elapsed) {
  AttemptResult result;
  result.request_id = request_id;
  result.endpoint = 1;
  result.request_finished = true;
  result.elapsed = elapsed;
  result.role = Role::Primary;
  result.replication_position = commit_position;
  return result;
}

/// Session 9 writes and then reads. The replicas have applied the log up to the time before the
/// write.
struct WriteThenRead {
  std::size_t write_class = kPlainWrite;
  std::optional<AttemptStatus> write_status;  ///< Empty: the write is still in flight.
  Duration write_elapsed = 30ms;
  std::optional<Duration> assumed_response_delay = 100ms;

  /// Whether a replica serves the read. If not, the read was required to see the write.
  [[nodiscard]] bool is_read_served_by_replica() const {
    Settings settings = default_settings();
    settings.session_token_source = SessionTokenSource::Router;
    settings.assumed_response_delay = assumed_response_delay;
    RouterHarness harness(settings);
    harness.list_healthy_group();
    const std::string id = harness.send_request(write_class, 9);
    EXPECT_EQ(harness.attempted_endpoint(), 1U);
    harness.now += write_elapsed;
    if (write_status)
      harness.end_attempt(id, 1, *write_status, RequestState::Finished);
    harness.now += 5ms;
    harness.send_request(kSessionRead, 9);
    const EndpointId reader = harness.attempted_endpoint();
    harness.send_request(kSessionRead, 8);  // Another session, which wrote nothing.
    EXPECT_NE(harness.attempted_endpoint(), kNoEndpoint);
    return reader != kNoEndpoint && reader != 1U;
  }
};

TEST(RouterReplicationPosition, SendsBoundedReadsOnlyToReplicasWithinTheirBound) {
  RouterHarness harness;
  harness.deliver_list({make_endpoint(1), make_endpoint(2), make_endpoint(3)});
  harness.report_health(1, Role::Primary, 0ms);
  harness.report_health(2, Role::Replica, 10ms);
  harness.report_health(3, Role::Replica, 1500ms);

  for (int i = 0; i < 40; ++i) {
    const std::string id = harness.send_request(kBoundedRead);
    EXPECT_EQ(harness.attempted_endpoint(), 2U);
    harness.answer(id, 2);
  }
}

TEST(RouterReplicationPosition, KnownPositionsExpire) {
  RouterHarness harness;
  harness.list_healthy_group();

  harness.now += 1100ms;  // All known positions are now older than the staleness bound.
  harness.send_request(kBoundedRead);

  EXPECT_NE(harness.attempted_endpoint(), 2U);
  EXPECT_NE(harness.attempted_endpoint(), 3U);
  EXPECT_NE(harness.attempted_endpoint(), 4U);
}

TEST(RouterReplicationPosition, SessionReadNeedsPositionOfItsToken) {
  RouterHarness harness;
  harness.deliver_list({make_endpoint(1), make_endpoint(2), make_endpoint(3)});
  harness.report_health(1, Role::Primary, 0ms);
  harness.report_health(2, Role::Replica, 500ms);
  harness.report_health(3, Role::Replica, 10ms);

  for (std::uint64_t session = 1; session < 30; ++session) {
    const std::string id = harness.send_request(kSessionRead, session, 100ms);
    EXPECT_EQ(harness.attempted_endpoint(), 3U);
    harness.answer(id, 3);
  }
}

TEST(RouterReplicationPosition, SessionReadNeedsATokenThatIsNotOverYet) {
  for (const Duration age : {0ms, -1ms, -3'600'000ms}) {
    RouterHarness harness;
    harness.list_healthy_group();
    const std::string id = harness.send_request(kSessionRead, 9, age);
    harness.run_timers_for(1500ms);
    for (const EndpointId replica : {2U, 3U, 4U})
      EXPECT_FALSE(harness.was_attempted(id, replica)) << replica;
    EXPECT_TRUE(harness.was_attempted(id, 1));
  }
}

TEST(RouterReplicationPosition, SessionReadNeedsItsSessionsLastWrite) {
  Settings settings = default_settings();
  settings.session_token_source = SessionTokenSource::Router;
  RouterHarness harness(settings);
  harness.list_healthy_group();

  const std::string id = harness.send_request(kPlainWrite, 9);
  ASSERT_EQ(harness.attempted_endpoint(), 1U);
  harness.now += 30ms;
  harness.deliver(make_write_result(id, position_at(harness.now - 1ms), 0ms));
  harness.send_request(kSessionRead, 9);

  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint)
      << "no replica is known to have applied the session's write";

  harness.report_health(3, Role::Replica, 0ms);
  EXPECT_EQ(harness.attempted_endpoint(), 3U);

  harness.send_request(kSessionRead, 8);  // Another session, which wrote nothing.
  EXPECT_NE(harness.attempted_endpoint(), kNoEndpoint);
}

// The answer to a committed write may be lost or delayed. A later read of the session must see the
// write, also if the write ended without an answer, or if its answer contains no commit position.
TEST(RouterReplicationPosition, SessionReadNeedsWriteWithUnknownResult) {
  EXPECT_FALSE((WriteThenRead{kKeyedWrite, std::nullopt, 100ms}.is_read_served_by_replica()))
      << "the write is in flight and may have been answered";
  EXPECT_FALSE((WriteThenRead{kPlainWrite, AttemptStatus::Reset}.is_read_served_by_replica()));
  EXPECT_FALSE((WriteThenRead{kPlainWrite, AttemptStatus::Timeout}.is_read_served_by_replica()));
  EXPECT_FALSE((WriteThenRead{kPlainWrite, AttemptStatus::Error}.is_read_served_by_replica()));
  EXPECT_FALSE((WriteThenRead{kKeyedWrite, AttemptStatus::Ok}.is_read_served_by_replica()))
      << "answered without a commit position";
  EXPECT_TRUE((WriteThenRead{kKeyedWrite, std::nullopt, 90ms}.is_read_served_by_replica()))
      << "in flight for less time than an answer takes to count as known";
  EXPECT_TRUE((WriteThenRead{kPlainWrite, AttemptStatus::NotSent}.is_read_served_by_replica()))
      << "it never ran";
  EXPECT_TRUE((WriteThenRead{kPlainWrite, AttemptStatus::Rejected}.is_read_served_by_replica()))
      << "it never ran";
}

TEST(RouterReplicationPosition, SessionReadNeedsOnlyAnsweredWritesWhereLostAnswersDoNotCount) {
  const Duration elapsed = 500ms;
  const std::optional<Duration> no_assumed_delay;
  EXPECT_TRUE((WriteThenRead{kKeyedWrite, std::nullopt, elapsed, no_assumed_delay}
                   .is_read_served_by_replica()));
  EXPECT_TRUE((WriteThenRead{kPlainWrite, AttemptStatus::Reset, elapsed, no_assumed_delay}
                   .is_read_served_by_replica()));
  EXPECT_FALSE((WriteThenRead{kKeyedWrite, AttemptStatus::Ok, elapsed, no_assumed_delay}
                    .is_read_served_by_replica()));
}

TEST(RouterReplicationPosition, ForgottenWritesAreRequiredOfAllSessions) {
  Settings settings = default_settings();
  settings.session_token_source = SessionTokenSource::Router;
  RouterHarness harness(settings);
  harness.list_healthy_group();
  const auto write = [&harness](std::uint64_t session) {
    const std::string id = harness.send_request(kPlainWrite, session);
    harness.deliver(make_write_result(id, position_at(harness.now), 10ms));
  };

  write(7);
  harness.send_request(kSessionRead, 8);  // Session 8 never wrote: any replica may serve it.
  EXPECT_NE(harness.attempted_endpoint(), kNoEndpoint);
  EXPECT_NE(harness.attempted_endpoint(), 1U);

  harness.now += 61'000ms;
  write(9);
  // Session 7 is forgotten, so its write is required of all sessions, and no replica has reported
  // that it has applied the write.
  harness.send_request(kSessionRead, 8);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);
}

TEST(RouterReplicationPosition, NeverReadsStaleReplicaWithoutStalenessChecks) {
  RouterHarness harness;
  harness.deliver_list({make_endpoint(1), make_endpoint(2)});
  harness.report_health(1, Role::Primary, 0ms);
  harness.report_health(2, Role::Replica, 5000ms);

  for (int i = 0; i < 20; ++i) {
    harness.actions.clear();
    harness.send_request(kBoundedRead);
    harness.run_timers_for(400ms);
    for (const StartAttempt& attempt : harness.actions_of<StartAttempt>())
      EXPECT_EQ(attempt.endpoint, 1U);
  }
}

TEST(RouterReplicationPosition, PresumesReplicaCurrentUnderStalenessChecksUntilMisdirected) {
  Settings settings = default_settings();
  settings.staleness_check = StalenessCheck::Reject;
  RouterHarness harness(settings);
  harness.list_healthy_group();

  harness.now += 20'000ms;
  const std::string id = harness.send_request(kBoundedRead);
  ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
  const EndpointId first = harness.attempted_endpoint();
  EXPECT_NE(first, 1U);

  harness.end_attempt(id, first, AttemptStatus::Misdirected);
  ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
  EXPECT_NE(harness.attempted_endpoint(), first);
}

}  // namespace
}  // namespace gorsebeam::router_test
