#include "raft/persistence_tracker.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace gorsebeam::raft {
namespace {

constexpr Index kStoredLogIndex = 5;
constexpr TimePoint kRetryAt{1000ms};

/// Returns a vote for the candidate; tests tell votes apart by their terms.
Message make_vote(const std::string& candidate, Term term) {
  return {"voter", candidate, term, VoteResponse{true}};
}

std::vector<Term> terms_of(const std::vector<Message>& messages) {
  std::vector<Term> terms;
  terms.reserve(messages.size());
  for (const Message& message : messages)
    terms.push_back(message.term);
  return terms;
}

TEST(PersistenceTracker, StartsAWriteOnlyForChanges) {
  PersistenceTracker tracker(kStoredLogIndex);
  EXPECT_EQ(tracker.start_write(kStoredLogIndex), std::nullopt);

  tracker.mark_changed();

  EXPECT_EQ(tracker.required_write(), 1U);
  EXPECT_EQ(tracker.start_write(kStoredLogIndex), 1U);
  EXPECT_EQ(tracker.start_write(kStoredLogIndex), std::nullopt);
  EXPECT_FALSE(tracker.is_persisted(1));
}

TEST(PersistenceTracker, ReleasesMessagesOnceTheirWriteHasFinished) {
  PersistenceTracker tracker(kStoredLogIndex);
  tracker.mark_changed();
  tracker.hold(make_vote("first", 1));
  static_cast<void>(tracker.start_write(6));
  tracker.mark_changed();
  tracker.hold(make_vote("second", 2));
  static_cast<void>(tracker.start_write(7));

  EXPECT_EQ(terms_of(tracker.finish_writes(1)), std::vector<Term>{1});
  EXPECT_EQ(tracker.persisted_log_index(), 6U);
  EXPECT_EQ(terms_of(tracker.finish_writes(2)), std::vector<Term>{2});
  EXPECT_EQ(tracker.persisted_log_index(), 7U);
}

TEST(PersistenceTracker, HoldsTheOldestAndTheNewestMessageOfATypeForAReceiver) {
  PersistenceTracker tracker(kStoredLogIndex);
  tracker.mark_changed();
  for (const Term term : {1, 2, 3})
    tracker.hold(make_vote("candidate", term));
  static_cast<void>(tracker.start_write(kStoredLogIndex));

  EXPECT_EQ(terms_of(tracker.finish_writes(1)), (std::vector<Term>{1, 3}));
}

TEST(PersistenceTracker, DropsMessagesOfAFailedWriteAndRepeatsTheWrite) {
  PersistenceTracker tracker(kStoredLogIndex);
  tracker.mark_changed();
  tracker.hold(make_vote("candidate", 1));
  static_cast<void>(tracker.start_write(kStoredLogIndex));

  tracker.record_failure(kRetryAt);
  tracker.hold(make_vote("candidate", 2));
  EXPECT_EQ(tracker.retry_at(), kRetryAt);
  EXPECT_FALSE(tracker.is_persisted(0));
  tracker.retry_if_due(kRetryAt - 1ns, kRetryAt + 1s);
  EXPECT_EQ(tracker.start_write(kStoredLogIndex), std::nullopt);
  tracker.retry_if_due(kRetryAt, kRetryAt + 1s);

  EXPECT_EQ(tracker.start_write(kStoredLogIndex), 2U);
  EXPECT_TRUE(tracker.finish_writes(2).empty());
  EXPECT_FALSE(tracker.has_storage_failed());
  EXPECT_EQ(tracker.retry_at(), kNever);
}

TEST(PersistenceTracker, DoesNotCountRemovedEntriesAsPersisted) {
  PersistenceTracker tracker(kStoredLogIndex);
  tracker.mark_changed();
  static_cast<void>(tracker.start_write(8));

  tracker.truncate_log(3);
  EXPECT_EQ(tracker.persisted_log_index(), 3U);
  static_cast<void>(tracker.finish_writes(1));

  EXPECT_EQ(tracker.persisted_log_index(), 3U);
}

}  // namespace
}  // namespace gorsebeam::raft
