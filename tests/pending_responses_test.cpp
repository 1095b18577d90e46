#include "config_versions/pending_responses.h"

#include "version_tracker_fixture.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace gorsebeam::config_versions {
namespace {

constexpr TimePoint kDeadline{4000ms};

PendingResponse make_pending(ResourceType type, int content, TimePoint deadline = kDeadline) {
  return {make_response(type, 1, content), deadline, ""};
}

/// Returns running bodies, all with content 0.
Bodies running_bodies() {
  return {make_body(0), make_body(0), make_body(0)};
}

TEST(PendingResponses, FindsTheLargestSetThatIsValidTogether) {
  PendingResponses pending;
  pending.add(make_pending(ResourceType::Contracts, 3));
  EXPECT_EQ(pending.find_largest_valid_set(running_bodies(), validate_reference), TypeSet());

  pending.add(make_pending(ResourceType::Members, 3));
  EXPECT_EQ(pending.find_largest_valid_set(running_bodies(), validate_reference), TypeSet(0b011));

  pending.add(make_pending(ResourceType::Limits, 1));
  EXPECT_EQ(pending.find_largest_valid_set(running_bodies(), validate_reference), TypeSet(0b111));
}

TEST(PendingResponses, LeavesOutAResponseThatIsNotValidWithTheOthers) {
  PendingResponses pending;
  pending.add(make_pending(ResourceType::Contracts, 3));
  pending.add(make_pending(ResourceType::Members, 2));

  EXPECT_EQ(pending.find_largest_valid_set(running_bodies(), validate_reference), TypeSet(0b010));
}

TEST(PendingResponses, RemovesOnlyResponsesWhoseDeadlineHasCome) {
  PendingResponses pending;
  pending.add(make_pending(ResourceType::Contracts, 1, kDeadline));
  pending.add(make_pending(ResourceType::Members, 2, kDeadline + 1ns));
  EXPECT_EQ(pending.next_deadline(), kDeadline);

  const std::vector<PendingResponse> expired = pending.remove_expired(kDeadline);

  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0].response.type, ResourceType::Contracts);
  EXPECT_EQ(pending.find(ResourceType::Contracts), nullptr);
  EXPECT_NE(pending.find(ResourceType::Members), nullptr);
  EXPECT_EQ(pending.next_deadline(), kDeadline + 1ns);
}

TEST(PendingResponses, HoldsNothingAfterRemoveAndClear) {
  PendingResponses pending;
  pending.add(make_pending(ResourceType::Contracts, 1));
  pending.add(make_pending(ResourceType::Members, 2));

  EXPECT_TRUE(pending.remove(ResourceType::Contracts).has_value());
  EXPECT_FALSE(pending.remove(ResourceType::Contracts).has_value());
  pending.clear();

  EXPECT_EQ(pending.find(ResourceType::Members), nullptr);
  EXPECT_EQ(pending.next_deadline(), kNever);
}

}  // namespace
}  // namespace gorsebeam::config_versions
