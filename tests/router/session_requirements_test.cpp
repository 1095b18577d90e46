/// Tests of src/router/session_requirements.h.
#include "router/session_requirements.h"

#include <gtest/gtest.h>

namespace gorsebeam::router {
namespace {

constexpr std::uint64_t kSession = 3;
constexpr std::size_t kRead = 0;
constexpr std::size_t kWrite = 1;

Settings make_settings(SessionTokenSource source) {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[kRead].consistency = ConsistencyLevel::Session;
  settings.classes[kWrite].consistency = ConsistencyLevel::Write;
  settings.session_token_source = source;
  return settings;
}

Request make_session_read() {
  Request read;
  read.session = kSession;
  return read;
}

PendingRequest make_session_write() {
  PendingRequest write;
  write.request.session = kSession;
  write.request.class_index = kWrite;
  return write;
}

// Guards against a token that is taken for none: one that is as new as the router's clock, or
// newer.
TEST(SessionRequirements, TakesTheClientsToken) {
  const Settings settings = make_settings(SessionTokenSource::Client);
  const SessionRequirements sessions(settings);
  Request read = make_session_read();
  EXPECT_EQ(sessions.token_for(read, settings.classes[kRead], TimePoint(100ns)), kUnknownPosition);
  for (const ReplicationPosition token :
       {ReplicationPosition(70ns), ReplicationPosition(100ns), ReplicationPosition(130ns)}) {
    read.session_token = token;
    EXPECT_EQ(sessions.token_for(read, settings.classes[kRead], TimePoint(100ns)), token);
  }
  EXPECT_EQ(sessions.token_for(read, settings.classes[kWrite], TimePoint(100ns)), kUnknownPosition);
}

TEST(SessionRequirements, ASessionsReadsMustSeeItsAnsweredWrite) {
  const Settings settings = make_settings(SessionTokenSource::Router);
  SessionRequirements sessions(settings);
  const PendingRequest write = make_session_write();
  UpstreamAttempt attempt;
  attempt.sent_at = TimePoint(10ns);
  AttemptResult result;
  result.replication_position = ReplicationPosition(15ns);
  sessions.record_start(write, TimePoint(10ns));
  sessions.record_end(write, attempt, result, TimePoint(20ns));
  EXPECT_EQ(sessions.token_for(make_session_read(), settings.classes[kRead], TimePoint(100ns)),
            ReplicationPosition(15ns));
  EXPECT_EQ(sessions.token_for({}, settings.classes[kRead], TimePoint(100ns)), kUnknownPosition)
      << "a request without a session";
}

TEST(SessionRequirements, AWriteThatNeverRanConstrainsNoRead) {
  const Settings settings = make_settings(SessionTokenSource::Router);
  SessionRequirements sessions(settings);
  const PendingRequest write = make_session_write();
  AttemptResult result;
  result.status = AttemptStatus::Misdirected;
  result.replication_position = ReplicationPosition(15ns);
  sessions.record_start(write, TimePoint(10ns));
  sessions.record_end(write, {}, result, TimePoint(20ns));
  EXPECT_EQ(sessions.token_for(make_session_read(), settings.classes[kRead], TimePoint(100ns)),
            kUnknownPosition);
}

TEST(SessionRequirements, ReadsMustSeeAWriteThatMayHaveRunUpToItsEnd) {
  Settings settings = make_settings(SessionTokenSource::Router);
  settings.assumed_response_delay = 50ns;
  SessionRequirements sessions(settings);
  const PendingRequest write = make_session_write();
  UpstreamAttempt attempt;
  attempt.sent_at = TimePoint(10ns);
  AttemptResult result;
  result.status = AttemptStatus::Timeout;
  sessions.record_start(write, TimePoint(10ns));
  sessions.record_end(write, attempt, result, TimePoint(20ns));
  EXPECT_EQ(sessions.token_for(make_session_read(), settings.classes[kRead], TimePoint(100ns)),
            ReplicationPosition(20ns));
}

}  // namespace
}  // namespace gorsebeam::router
