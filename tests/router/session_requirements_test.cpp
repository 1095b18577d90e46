/// Tests of src/router/session_requirements.h.
#include "router/session_requirements.h"

#include <gtest/gtest.h>

namespace gorsebeam::router {
namespace {

constexpr std::uint64_t kSession = 3;
constexpr std::size_t kRead = 0;
constexpr std::size_t kWrite = 1;

Settings settings_with(SessionTokenSource source) {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[kRead].consistency = ConsistencyLevel::Session;
  settings.classes[kWrite].consistency = ConsistencyLevel::Write;
  settings.session_token_source = source;
  return settings;
}

Request read_of_session() {
  Request read;
  read.session = kSession;
  return read;
}

PendingRequest write_of_session() {
  PendingRequest write;
  write.request.session = kSession;
  write.request.class_index = kWrite;
  return write;
}

TEST(SessionRequirements, ReadsTheClientsTokenAsAnAge) {
  const Settings settings = settings_with(SessionTokenSource::Client);
  const SessionRequirements sessions(settings);
  Request read = read_of_session();
  EXPECT_EQ(sessions.token_for(read, settings.classes[kRead], 100), kUnknown);
  read.session_token_age = 0;
  EXPECT_EQ(sessions.token_for(read, settings.classes[kRead], 100), kUnknown) << "no write";
  read.session_token_age = 30;
  EXPECT_EQ(sessions.token_for(read, settings.classes[kRead], 100), 70);
  EXPECT_EQ(sessions.token_for(read, settings.classes[kWrite], 100), kUnknown);
}

TEST(SessionRequirements, ASessionsReadsMustSeeItsAnsweredWrite) {
  const Settings settings = settings_with(SessionTokenSource::Router);
  SessionRequirements sessions(settings);
  const PendingRequest write = write_of_session();
  UpstreamAttempt attempt;
  attempt.sent_at = 10;
  AttemptResult result;
  result.replication_position = 15;
  sessions.record_start(write, 10);
  sessions.record_end(write, attempt, result, false, 20);
  EXPECT_EQ(sessions.token_for(read_of_session(), settings.classes[kRead], 100), 15);
  EXPECT_EQ(sessions.token_for({}, settings.classes[kRead], 100), kUnknown) << "another session";
}

TEST(SessionRequirements, AWriteThatNeverRanBindsNoRead) {
  const Settings settings = settings_with(SessionTokenSource::Router);
  SessionRequirements sessions(settings);
  const PendingRequest write = write_of_session();
  AttemptResult result;
  result.status = AttemptStatus::Misdirected;
  result.replication_position = 15;
  sessions.record_start(write, 10);
  sessions.record_end(write, {}, result, false, 20);
  EXPECT_EQ(sessions.token_for(read_of_session(), settings.classes[kRead], 100), kUnknown);
}

TEST(SessionRequirements, AWriteThatMayHaveRunBindsReadsUpToItsEnd) {
  Settings settings = settings_with(SessionTokenSource::Router);
  settings.responses_known_after = 50;
  SessionRequirements sessions(settings);
  const PendingRequest write = write_of_session();
  UpstreamAttempt attempt;
  attempt.sent_at = 10;
  AttemptResult result;
  result.status = AttemptStatus::Timeout;
  sessions.record_start(write, 10);
  sessions.record_end(write, attempt, result, true, 20);
  EXPECT_EQ(sessions.token_for(read_of_session(), settings.classes[kRead], 100), 20);
}

}  // namespace
}  // namespace gorsebeam::router
