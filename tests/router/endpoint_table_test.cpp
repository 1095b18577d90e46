/// Tests of src/router/endpoint_table.h.
#include "router/endpoint_table.h"

#include <gtest/gtest.h>

#include <optional>

namespace gorsebeam::router {
namespace {

constexpr TimePoint kMinute(60s);
constexpr GroupId kGroup = 7;

EndpointState& add_endpoint(EndpointTable& table, EndpointId id) {
  EndpointState& endpoint = table.find_or_create(id);
  endpoint.listing.id = id;
  endpoint.listing.group = kGroup;
  table.group(kGroup).endpoints.push_back(id);
  return endpoint;
}

TEST(EndpointTable, FindsOnlyKnownEndpoints) {
  EndpointTable table;
  add_endpoint(table, 1);
  EXPECT_NE(table.find(1), nullptr);
  EXPECT_EQ(table.find(2), nullptr);
}

TEST(EndpointTable, CountsUsableEndpointsThatAreNotEjected) {
  EndpointTable table;
  add_endpoint(table, 1).is_ejected = false;
  add_endpoint(table, 2);
  EndpointState& draining = add_endpoint(table, 3);
  draining.is_ejected = false;
  draining.listing.status = EndpointStatus::Draining;
  add_endpoint(table, 4).is_ejected = false;
  EXPECT_EQ(table.serving_endpoint_count(table.group(kGroup)), 2);
  EXPECT_EQ(table.serving_endpoint_count(table.group(kGroup + 1)), 1)
      << "a group counts as having at least one";
}

TEST(EndpointTable, MarksEachGroupOnceAndOnlyIfRequestsWait) {
  EndpointTable table;
  table.mark_dispatchable(kGroup);
  EXPECT_EQ(table.pop_dispatchable(), std::nullopt);
  table.group(kGroup).waiting.insert(1);
  table.group(3).waiting.insert(2);
  table.mark_dispatchable(kGroup);
  table.mark_dispatchable(3);
  table.mark_dispatchable(kGroup);
  EXPECT_EQ(table.pop_dispatchable(), kGroup)
      << "groups are returned in the order in which they were marked";
  EXPECT_EQ(table.pop_dispatchable(), 3U);
  EXPECT_EQ(table.pop_dispatchable(), std::nullopt);
}

TEST(EndpointTable, SkipsMarkedGroupsThatWereForgotten) {
  EndpointTable table;
  table.group(kGroup).waiting.insert(1);
  table.mark_dispatchable(kGroup);
  table.group(kGroup).waiting.clear();
  table.forget_group_if_unused(kGroup);
  EXPECT_EQ(table.pop_dispatchable(), std::nullopt);
}

TEST(EndpointTable, ForgetsARemovedEndpointAfterAMinuteUnlessInUse) {
  EndpointTable table;
  add_endpoint(table, 1).removed_at = TimePoint{};
  add_endpoint(table, 2);
  table.group(kGroup).primary = 1;
  table.forget_removed(kMinute - 1ns, {});
  EXPECT_NE(table.find(1), nullptr);
  table.forget_removed(kMinute, {1});
  EXPECT_NE(table.find(1), nullptr);
  table.forget_removed(kMinute, {});
  EXPECT_EQ(table.find(1), nullptr);
  EXPECT_NE(table.find(2), nullptr);
  EXPECT_EQ(table.group(kGroup).endpoints, std::vector<EndpointId>{2});
  EXPECT_EQ(table.group(kGroup).primary, std::nullopt);
}

TEST(EndpointTable, KeepsAGroupWithWaitingRequests) {
  EndpointTable table;
  table.group(kGroup).waiting.insert(1);
  table.group(kGroup).last_dispatch_at = TimePoint(5ns);
  table.forget_group_if_unused(kGroup);
  EXPECT_EQ(table.group(kGroup).last_dispatch_at, TimePoint(5ns));
  table.group(kGroup).waiting.clear();
  table.forget_group_if_unused(kGroup);
  EXPECT_EQ(table.group(kGroup).last_dispatch_at, TimePoint{});
}

}  // namespace
}  // namespace gorsebeam::router
