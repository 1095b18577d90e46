#include "session_tokens/session_writes.h"

#include <gtest/gtest.h>

namespace gorsebeam::session_tokens {
namespace {

constexpr Duration kAssumedResponseDelay = 100ms;
constexpr TimePoint kStart(1000s);
constexpr std::uint64_t kSession = 7;
constexpr std::uint64_t kOtherSession = 8;

TEST(SessionWrites, RequiresNothingOfASessionThatHasNotWritten) {
  const SessionWrites writes(kAssumedResponseDelay);

  EXPECT_EQ(writes.required_position(kSession, kStart), SessionWrites::kNoWrite);
}

TEST(SessionWrites, RequiresTheCommitPositionOfTheSessionsOwnWrite) {
  SessionWrites writes(kAssumedResponseDelay);
  const ReplicationPosition commit_position = position_at(kStart + 3ms);

  writes.begin_write(kSession, kStart);
  writes.complete_write(kSession, kStart, WriteResult::Committed, commit_position, kStart + 5ms);

  EXPECT_EQ(writes.required_position(kSession, kStart + 1s), commit_position);
  EXPECT_EQ(writes.required_position(kOtherSession, kStart + 1s), SessionWrites::kNoWrite);
}

TEST(SessionWrites, KeepsTheNewestPositionWhenAnOlderCommitCompletesLater) {
  SessionWrites writes(kAssumedResponseDelay);
  const ReplicationPosition newer_position = position_at(kStart + 20ns);

  writes.complete_write(kSession, kStart, WriteResult::Committed, newer_position, kStart + 30ns);
  writes.complete_write(kSession, kStart, WriteResult::Committed, position_at(kStart + 10ns),
                        kStart + 40ns);

  EXPECT_EQ(writes.required_position(kSession, kStart + 50ns), newer_position);
}

TEST(SessionWrites, CountsACommitWithoutAPositionAsCommittedAtItsEnd) {
  for (const std::optional<Duration> assumed_response_delay :
       {std::optional<Duration>(kAssumedResponseDelay), {}}) {
    SessionWrites writes(assumed_response_delay);
    const TimePoint end = kStart + 5ms;

    writes.begin_write(kSession, kStart);
    writes.complete_write(kSession, kStart, WriteResult::Committed, std::nullopt, end);

    EXPECT_EQ(writes.required_position(kSession, end), position_at(end));
  }
}

TEST(SessionWrites, IgnoresAWriteThatWasNotExecuted) {
  SessionWrites writes(kAssumedResponseDelay);

  writes.begin_write(kSession, kStart);
  writes.complete_write(kSession, kStart, WriteResult::NotExecuted, position_at(kStart),
                        kStart + 1s);

  EXPECT_EQ(writes.required_position(kSession, kStart + 2s), SessionWrites::kNoWrite);
}

TEST(SessionWrites, CountsAWriteOfUnknownResultAsCommittedAtItsEndDespiteAPosition) {
  SessionWrites writes(kAssumedResponseDelay);
  const TimePoint end = kStart + 1s;

  writes.begin_write(kSession, kStart);
  writes.complete_write(kSession, kStart, WriteResult::Unknown, position_at(kStart), end);

  EXPECT_EQ(writes.required_position(kSession, end + 1s), position_at(end));
}

TEST(SessionWrites, RequiresWhatMayBeKnownWhileAWriteIsInFlight) {
  SessionWrites writes(kAssumedResponseDelay);

  writes.begin_write(kSession, kStart);

  EXPECT_EQ(writes.required_position(kSession, kStart + kAssumedResponseDelay),
            SessionWrites::kNoWrite);
  EXPECT_EQ(writes.required_position(kSession, kStart + kAssumedResponseDelay + 1ns),
            position_at(kStart + 1ns));
  EXPECT_EQ(writes.required_position(kSession, kStart + 1s),
            position_at(kStart + 1s - kAssumedResponseDelay));
}

TEST(SessionWrites, EndsOnlyTheAttemptThatBeganAtTheGivenTime) {
  SessionWrites writes(kAssumedResponseDelay);
  const TimePoint second_start = kStart + 50ms;
  writes.begin_write(kSession, kStart);
  writes.begin_write(kSession, second_start);

  writes.complete_write(kSession, kStart, WriteResult::NotExecuted, std::nullopt, second_start);

  const TimePoint known_second = second_start + kAssumedResponseDelay;
  EXPECT_EQ(writes.required_position(kSession, known_second), SessionWrites::kNoWrite);
  EXPECT_EQ(writes.required_position(kSession, known_second + 1ns),
            position_at(second_start + 1ns));
}

TEST(SessionWrites, EndsOneOfTwoAttemptsThatBeganAtTheSameTime) {
  SessionWrites writes(kAssumedResponseDelay);
  writes.begin_write(kSession, kStart);
  writes.begin_write(kSession, kStart);

  writes.complete_write(kSession, kStart, WriteResult::NotExecuted, std::nullopt, kStart);

  EXPECT_EQ(writes.required_position(kSession, kStart + 1s),
            position_at(kStart + 1s - kAssumedResponseDelay));
}

TEST(SessionWrites, RequiresNothingOfUnansweredWritesWhereOnlyResponsesCount) {
  SessionWrites writes(std::nullopt);

  writes.begin_write(kSession, kStart);
  EXPECT_EQ(writes.required_position(kSession, kStart + 1s), SessionWrites::kNoWrite);
  writes.complete_write(kSession, kStart, WriteResult::Unknown, std::nullopt, kStart + 1s);

  EXPECT_EQ(writes.required_position(kSession, kStart + 2s), SessionWrites::kNoWrite);
}

TEST(SessionWrites, HoldsAForgottenSessionToTheNewestForgottenPosition) {
  SessionWrites writes(kAssumedResponseDelay);
  writes.complete_write(kSession, kStart, WriteResult::Committed, position_at(kStart), kStart);

  const TimePoint retained = kStart + SessionWrites::kRetention;
  writes.complete_write(kOtherSession, retained, WriteResult::Committed, position_at(retained),
                        retained);
  EXPECT_EQ(writes.required_position(99, retained), SessionWrites::kNoWrite);
  writes.complete_write(kOtherSession, retained, WriteResult::Committed, position_at(retained),
                        retained + 1ns);

  EXPECT_EQ(writes.required_position(kSession, retained), position_at(kStart));
  EXPECT_EQ(writes.required_position(99, retained), position_at(kStart))
      << "required of every session without a position of its own";
  EXPECT_EQ(writes.required_position(kOtherSession, retained), position_at(retained));
}

TEST(SessionWrites, ForgetsTheOldestSessionBeyondTheMaximum) {
  SessionWrites writes(kAssumedResponseDelay);
  for (std::uint64_t session = 0; session < SessionWrites::kMaxSessions; ++session) {
    const TimePoint time = kStart + Duration(session);
    writes.complete_write(session, time, WriteResult::Committed, position_at(time), time);
  }
  const std::uint64_t unknown_session = SessionWrites::kMaxSessions + 1;
  EXPECT_EQ(writes.required_position(unknown_session, kStart), SessionWrites::kNoWrite);

  const TimePoint last = kStart + Duration(SessionWrites::kMaxSessions);
  writes.complete_write(SessionWrites::kMaxSessions, last, WriteResult::Committed,
                        position_at(last), last);

  EXPECT_EQ(writes.required_position(unknown_session, last), position_at(kStart));
  EXPECT_EQ(writes.required_position(1, last), position_at(kStart + 1ns));
}

}  // namespace
}  // namespace gorsebeam::session_tokens
