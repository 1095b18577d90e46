#include "session_tokens/session_writes.h"

#include <gtest/gtest.h>

namespace gorsebeam::session_tokens {
namespace {

constexpr Nanos kMillisecond = 1'000'000;
constexpr Nanos kSecond = 1000 * kMillisecond;
constexpr Nanos kKnownAfter = 100 * kMillisecond;
constexpr Nanos kStart = 1000 * kSecond;
constexpr std::uint64_t kSession = 7;
constexpr std::uint64_t kOtherSession = 8;

TEST(SessionWrites, RequiresNothingOfASessionThatHasNotWritten) {
  const SessionWrites writes(kKnownAfter);

  EXPECT_EQ(writes.required_position(kSession, kStart), SessionWrites::kNoWrite);
}

TEST(SessionWrites, RequiresTheCommitPositionOfTheSessionsOwnWrite) {
  SessionWrites writes(kKnownAfter);
  const Nanos commit_position = kStart + 3 * kMillisecond;

  writes.begin_write(kSession, kStart);
  writes.complete_write(kSession, kStart, WriteResult::Committed, commit_position,
                        kStart + 5 * kMillisecond);

  EXPECT_EQ(writes.required_position(kSession, kStart + kSecond), commit_position);
  EXPECT_EQ(writes.required_position(kOtherSession, kStart + kSecond), SessionWrites::kNoWrite);
}

TEST(SessionWrites, KeepsTheNewestPositionWhenAnOlderCommitCompletesLater) {
  SessionWrites writes(kKnownAfter);
  const Nanos newer_position = kStart + 20;

  writes.complete_write(kSession, kStart, WriteResult::Committed, newer_position, kStart + 30);
  writes.complete_write(kSession, kStart, WriteResult::Committed, kStart + 10, kStart + 40);

  EXPECT_EQ(writes.required_position(kSession, kStart + 50), newer_position);
}

TEST(SessionWrites, CountsACommitWithoutAPositionAsCommittedAtItsEnd) {
  for (const std::optional<Nanos> known_after : {std::optional<Nanos>(kKnownAfter), {}}) {
    SessionWrites writes(known_after);
    const Nanos end = kStart + 5 * kMillisecond;

    writes.begin_write(kSession, kStart);
    writes.complete_write(kSession, kStart, WriteResult::Committed, std::nullopt, end);

    EXPECT_EQ(writes.required_position(kSession, end), end);
  }
}

TEST(SessionWrites, IgnoresAWriteThatWasNotExecuted) {
  SessionWrites writes(kKnownAfter);

  writes.begin_write(kSession, kStart);
  writes.complete_write(kSession, kStart, WriteResult::NotExecuted, kStart, kStart + kSecond);

  EXPECT_EQ(writes.required_position(kSession, kStart + 2 * kSecond), SessionWrites::kNoWrite);
}

TEST(SessionWrites, CountsAWriteOfUnknownResultAsCommittedAtItsEndDespiteAPosition) {
  SessionWrites writes(kKnownAfter);
  const Nanos end = kStart + kSecond;

  writes.begin_write(kSession, kStart);
  writes.complete_write(kSession, kStart, WriteResult::Unknown, kStart, end);

  EXPECT_EQ(writes.required_position(kSession, end + kSecond), end);
}

TEST(SessionWrites, RequiresWhatMayBeKnownWhileAWriteIsInFlight) {
  SessionWrites writes(kKnownAfter);

  writes.begin_write(kSession, kStart);

  EXPECT_EQ(writes.required_position(kSession, kStart + kKnownAfter), SessionWrites::kNoWrite);
  EXPECT_EQ(writes.required_position(kSession, kStart + kKnownAfter + 1), kStart + 1);
  EXPECT_EQ(writes.required_position(kSession, kStart + kSecond), kStart + kSecond - kKnownAfter);
}

TEST(SessionWrites, EndsOnlyTheAttemptThatBeganAtTheGivenTime) {
  SessionWrites writes(kKnownAfter);
  const Nanos second_start = kStart + 50 * kMillisecond;
  writes.begin_write(kSession, kStart);
  writes.begin_write(kSession, second_start);

  writes.complete_write(kSession, kStart, WriteResult::NotExecuted, std::nullopt, second_start);

  const Nanos known_second = second_start + kKnownAfter;
  EXPECT_EQ(writes.required_position(kSession, known_second), SessionWrites::kNoWrite);
  EXPECT_EQ(writes.required_position(kSession, known_second + 1), second_start + 1);
}

TEST(SessionWrites, EndsOneOfTwoAttemptsThatBeganAtTheSameTime) {
  SessionWrites writes(kKnownAfter);
  writes.begin_write(kSession, kStart);
  writes.begin_write(kSession, kStart);

  writes.complete_write(kSession, kStart, WriteResult::NotExecuted, std::nullopt, kStart);

  EXPECT_EQ(writes.required_position(kSession, kStart + kSecond), kStart + kSecond - kKnownAfter);
}

TEST(SessionWrites, RequiresNothingOfUnansweredWritesWhereOnlyResponsesCount) {
  SessionWrites writes(std::nullopt);

  writes.begin_write(kSession, kStart);
  EXPECT_EQ(writes.required_position(kSession, kStart + kSecond), SessionWrites::kNoWrite);
  writes.complete_write(kSession, kStart, WriteResult::Unknown, std::nullopt, kStart + kSecond);

  EXPECT_EQ(writes.required_position(kSession, kStart + 2 * kSecond), SessionWrites::kNoWrite);
}

TEST(SessionWrites, HoldsAForgottenSessionToTheNewestForgottenPosition) {
  SessionWrites writes(kKnownAfter);
  writes.complete_write(kSession, kStart, WriteResult::Committed, kStart, kStart);

  const Nanos retained = kStart + SessionWrites::kRetention;
  writes.complete_write(kOtherSession, retained, WriteResult::Committed, retained, retained);
  EXPECT_EQ(writes.required_position(99, retained), SessionWrites::kNoWrite);
  writes.complete_write(kOtherSession, retained, WriteResult::Committed, retained, retained + 1);

  EXPECT_EQ(writes.required_position(kSession, retained), kStart);
  EXPECT_EQ(writes.required_position(99, retained), kStart);  // any session without a position
  EXPECT_EQ(writes.required_position(kOtherSession, retained), retained);
}

TEST(SessionWrites, ForgetsTheOldestSessionBeyondTheMaximum) {
  SessionWrites writes(kKnownAfter);
  for (std::uint64_t session = 0; session < SessionWrites::kMaxSessions; ++session) {
    const Nanos position = kStart + static_cast<Nanos>(session);
    writes.complete_write(session, position, WriteResult::Committed, position, position);
  }
  const std::uint64_t unknown_session = SessionWrites::kMaxSessions + 1;
  EXPECT_EQ(writes.required_position(unknown_session, kStart), SessionWrites::kNoWrite);

  const Nanos last = kStart + static_cast<Nanos>(SessionWrites::kMaxSessions);
  writes.complete_write(SessionWrites::kMaxSessions, last, WriteResult::Committed, last, last);

  EXPECT_EQ(writes.required_position(unknown_session, last), kStart);
  EXPECT_EQ(writes.required_position(1, last), kStart + 1);
}

}  // namespace
}  // namespace gorsebeam::session_tokens
