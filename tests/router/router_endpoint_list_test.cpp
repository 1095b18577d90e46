/// Tests which endpoints the endpoint list excludes, and when endpoints are forgotten.
#include "router_harness.h"

namespace gorsebeam::router_test {
namespace {

TEST(RouterEndpointList, SendsNothingToDrainingEndpoint) {
  RouterHarness harness;
  harness.list_healthy_group();

  harness.deliver_list({make_draining_endpoint(3)}, EndpointList::Kind::Delta);

  for (int i = 0; i < 40; ++i) {
    const std::string id = harness.send_request(kEventualRead);
    ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
    EXPECT_NE(harness.attempted_endpoint(), 3U);
    harness.answer(id, harness.attempted_endpoint());
  }
}

TEST(RouterEndpointList, SendsNothingToEndpointMissingFromFullList) {
  RouterHarness harness;
  harness.list_healthy_group();

  harness.deliver_list({make_endpoint(1), make_endpoint(2), make_endpoint(4)});

  for (int i = 0; i < 40; ++i) {
    const std::string id = harness.send_request(kEventualRead);
    ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
    EXPECT_NE(harness.attempted_endpoint(), 3U);
    harness.answer(id, harness.attempted_endpoint());
  }
}

TEST(RouterEndpointList, KeepsRemovedEndpointsWhereTheyMayServe) {
  Settings settings = default_settings();
  settings.removed_endpoints_may_serve = true;
  RouterHarness harness(settings);
  harness.list_healthy_group();

  harness.deliver_list({make_draining_endpoint(4)}, EndpointList::Kind::Delta);
  harness.deliver_list({make_endpoint(1)});  // Of the removed endpoints, only 4 was draining.

  std::set<EndpointId> used;
  for (int i = 0; i < 60; ++i) {
    const std::string id = harness.send_request(kEventualRead);
    ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
    used.insert(harness.attempted_endpoint());
    harness.answer(id, harness.attempted_endpoint());
  }

  EXPECT_EQ(used, (std::set<EndpointId>{2, 3}));
}

TEST(RouterEndpointList, EndpointGetsNoRequestOfOtherGroups) {
  RouterHarness harness;
  harness.list_healthy_group();
  Endpoint other_group = make_endpoint(9);
  other_group.group = 77;

  harness.deliver_list({other_group}, EndpointList::Kind::Delta);
  harness.report_health(3, Role::Replica, -60'000ms);
  harness.send_request(kEventualRead);
  ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
  EXPECT_NE(harness.attempted_endpoint(), 9U) << "a request goes only to its own group";
}

TEST(RouterEndpointList, ForgetsEndpointAMinuteAfterRemoval) {
  RouterHarness harness;
  harness.list_healthy_group();
  harness.deliver_list({make_endpoint(1), make_endpoint(2), make_endpoint(3)});
  harness.now += 59'000ms;
  // Endpoint 4 is still known.
  harness.deliver_list({make_endpoint(4)}, EndpointList::Kind::Delta);
  EXPECT_TRUE(harness.actions_of<SendHealthCheck>().empty());

  harness.deliver_list({make_endpoint(1), make_endpoint(2), make_endpoint(3)});
  harness.now += 61'000ms;
  harness.deliver_list({make_endpoint(1)}, EndpointList::Kind::Delta);
  harness.deliver_list({make_endpoint(4)}, EndpointList::Kind::Delta);
  EXPECT_EQ(harness.actions_of<SendHealthCheck>().size(), 1U);
  harness.send_request(kEventualRead);
  EXPECT_NE(harness.attempted_endpoint(), 4U);
}

constexpr GroupId kOtherGroup = 5;

Endpoint make_moved_endpoint(EndpointId id) {
  Endpoint endpoint = make_endpoint(id);
  endpoint.group = kOtherGroup;
  return endpoint;
}

// Guards against a request that no router answers: an endpoint that changed its group and was then
// removed stayed in its former group, whose next request threw an exception.
TEST(RouterEndpointList, ServesAGroupWhoseFormerEndpointWasMovedAndRemoved) {
  RouterHarness harness;
  harness.list_healthy_group();
  harness.deliver_list({make_moved_endpoint(3)}, EndpointList::Kind::Delta);
  harness.deliver_list({make_endpoint(1), make_endpoint(2), make_endpoint(4)});
  harness.now += 61'000ms;
  harness.deliver_list({make_endpoint(1), make_endpoint(2), make_endpoint(4)});
  for (const EndpointId id : {2U, 4U})
    harness.report_health(id, Role::Replica, 20ms);
  for (const std::size_t class_index : {kEventualRead, kBoundedRead}) {
    const std::string id = harness.send_request(class_index);
    ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
    harness.answer(id, harness.attempted_endpoint());
  }
}

TEST(RouterEndpointList, SendsNothingOfItsFormerGroupToAMovedEndpoint) {
  RouterHarness harness;
  harness.list_healthy_group();
  harness.deliver_list({make_moved_endpoint(1), make_moved_endpoint(3)}, EndpointList::Kind::Delta);
  for (int i = 0; i < 40; ++i) {
    for (const std::size_t class_index : {kEventualRead, kBoundedRead, kStrongRead, kPlainWrite}) {
      const std::string id = harness.send_request(class_index);
      EXPECT_FALSE(harness.was_attempted(id, 1));
      EXPECT_FALSE(harness.was_attempted(id, 3));
      if (harness.attempted_endpoint() != kNoEndpoint)
        harness.answer(id, harness.attempted_endpoint());
    }
  }
}

// The position that an endpoint had in its former group proves nothing in its new one, nor does an
// answer to what was sent to it before.
TEST(RouterEndpointList, AdmitsAMovedEndpointOnlyAfterANewAnswer) {
  RouterHarness harness;
  harness.list_healthy_group();
  const std::string before = harness.send_request(kEventualRead);
  const EndpointId moved = harness.attempted_endpoint();
  harness.now += 5ms;
  harness.deliver_list({make_moved_endpoint(moved)}, EndpointList::Kind::Delta);
  harness.now += 5ms;
  harness.answer(before, moved, 10ms);

  Request read;
  read.id = "first-in-new-group";
  read.class_index = kBoundedRead;
  read.group = kOtherGroup;
  read.deadline = harness.now + 2000ms;
  harness.deliver(read);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);
  harness.now += 5ms;
  harness.report_health(moved, Role::Replica, 20ms);
  EXPECT_EQ(harness.attempted_endpoint(), moved);
}

}  // namespace
}  // namespace gorsebeam::router_test
