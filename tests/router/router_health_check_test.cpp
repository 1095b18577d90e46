/// Tests when, and to which endpoints, the router sends health checks.
#include "router_harness.h"

namespace gorsebeam::router_test {
namespace {

TEST(RouterHealthCheck, ChecksEachListedEndpointOnceBeforeItsFirstRequest) {
  RouterHarness harness;

  harness.deliver_list({make_endpoint(1), make_endpoint(2)}, EndpointList::Kind::Cached);
  EXPECT_EQ(harness.actions_of<SendHealthCheck>().size(), 2U);

  harness.send_request(kEventualRead);
  EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);

  harness.report_health(2, Role::Replica, 10ms);
  EXPECT_EQ(harness.attempted_endpoint(), 2U);
}

// With many endpoints, the first health checks go to the groups that requests name, not to the
// endpoints with the lowest ids. The first reads of a group wait until a position is known and do
// not go to the primary.
TEST(RouterHealthCheck, ChecksOnlyRequestedGroupsOfLongList) {
  Settings settings = default_settings();
  settings.health_check_cost = 0.4;
  settings.listed_role = ListedRole::AtStart;
  RouterHarness harness(settings);
  std::vector<Endpoint> endpoints;
  for (EndpointId id = 1; id <= 40; ++id) {
    endpoints.push_back(make_endpoint(id));
    endpoints.back().group = (id - 1) / 4;
    endpoints.back().listed_as_primary = id % 4 == 1;
  }

  harness.deliver_list(endpoints, EndpointList::Kind::Cached);
  EXPECT_TRUE(harness.actions_of<SendHealthCheck>().empty());

  for (GroupId group = 8; group < 10; ++group) {
    harness.now += 5ms;
    Request request;
    request.id = "g" + std::to_string(group);
    request.class_index = group % 2 == 1 ? kBoundedRead : kSessionRead;
    request.group = group;
    request.session = 7;
    request.session_token = position_at(harness.now - 1000ms);
    request.deadline = harness.now + 2000ms;
    harness.deliver(request);
    const std::vector<SendHealthCheck> checks = harness.actions_of<SendHealthCheck>();
    ASSERT_FALSE(checks.empty()) << group;
    for (const SendHealthCheck& check : checks)
      EXPECT_EQ((check.endpoint - 1) / 4, group);
    EXPECT_EQ(harness.attempted_endpoint(), kNoEndpoint);
    harness.report_health(group * 4 + 2, Role::Replica, 100ms);
    EXPECT_EQ(harness.attempted_endpoint(), group * 4 + 2);
  }
}

/// Sends 40 bounded reads at longer intervals than their staleness bound, with expensive health
/// checks, and between them writes that the primary answers in `primary_latency`. Returns how many
/// of the reads a replica served.
int count_sparse_reads_served_by_replicas(Duration primary_latency) {
  Settings settings = default_settings();
  settings.health_check_cost = 0.4;
  RouterHarness harness(settings);
  harness.list_healthy_group();
  int count = 0;
  for (int i = 0; i < 40; ++i) {
    for (int write = 0; write < 3; ++write)
      harness.answer(harness.send_request(kPlainWrite), 1, primary_latency);
    harness.now += 1100ms;  // All known positions are too old for a bounded read.
    const std::string read = harness.send_request(kBoundedRead);
    for (const SendHealthCheck& check : harness.actions_of<SendHealthCheck>())
      harness.report_health(check.endpoint, Role::Replica, 10ms);
    const EndpointId endpoint = harness.attempted_endpoint();
    if (endpoint == kNoEndpoint)
      continue;
    if (endpoint != 1U)
      ++count;
    harness.answer(read, endpoint, 5ms);
  }
  return count;
}

// Most sparse bounded reads go to the primary without a health check. Once primaries answer as
// slowly as the target load allows, each read checks a replica first, whatever the check costs.
TEST(RouterHealthCheck, SparseBoundedReadsAvoidSaturatedPrimary) {
  // Ten health checks may be sent at once, and each request adds a tenth of one.
  EXPECT_LE(count_sparse_reads_served_by_replicas(20ms), 22);
  EXPECT_GE(count_sparse_reads_served_by_replicas(600ms), 26);
}

// A hundred routers have used up their budgets for health checks when their group's primary drains.
// The next read of each checks every endpoint once and goes to the one that reports that it is the
// new primary, although no write has found it before.
TEST(RouterHealthCheck, ReadOfGroupWithoutPrimaryFindsNewPrimary) {
  std::size_t health_checks = 0;
  std::size_t served = 0;
  for (int router = 0; router < 100; ++router) {
    RouterHarness harness;
    harness.list_healthy_group();
    // No known position is recent enough, so each read checks replicas.
    for (int i = 0; i < 6; ++i) {
      harness.now += 5000ms;
      const std::string read = harness.send_request(kBoundedRead);
      for (const EndpointId id : {2U, 3U, 4U, 2U, 3U, 4U})
        harness.report_health(id, Role::Replica, 4000ms);
      harness.deliver(ClientDisconnected{read});
    }
    harness.deliver_list({make_draining_endpoint(1)}, EndpointList::Kind::Delta);
    harness.now += 1100ms;
    const std::string id = harness.send_request(kBoundedRead);
    const std::vector<SendHealthCheck> checks = harness.actions_of<SendHealthCheck>();
    health_checks += checks.size();
    for (const SendHealthCheck& check : checks) {
      if (check.endpoint == 3)
        harness.report_health(3, Role::Primary, 40ms);
      else
        harness.report_health(check.endpoint, Role::Replica, 4000ms);
    }
    harness.run_timers_for(20ms);
    if (harness.was_attempted(id, 3))
      ++served;
  }
  EXPECT_EQ(served, 100U);
  EXPECT_LE(health_checks, 300U);
}

// A hundred routers each get a bounded read every 1.2 s, when all known positions are too old for
// it. Each read checks one replica rather than all, is served by it, and stays within the budget.
TEST(RouterHealthCheck, SparseBoundedReadChecksOneReplica) {
  Settings settings = default_settings();
  settings.health_check_cost = 0.04;
  std::size_t health_checks = 0;
  std::size_t served = 0;
  for (int router = 0; router < 100; ++router) {
    RouterHarness harness(settings);
    harness.list_healthy_group();
    for (int i = 0; i < 30; ++i) {
      harness.now += 1200ms;
      const std::string id = harness.send_request(kBoundedRead);
      const std::vector<SendHealthCheck> checks = harness.actions_of<SendHealthCheck>();
      health_checks += checks.size();
      for (const SendHealthCheck& check : checks)
        harness.report_health(check.endpoint, Role::Replica, 100ms);
      const EndpointId endpoint = harness.attempted_endpoint();
      if (endpoint == kNoEndpoint)
        continue;
      if (endpoint != 1U)
        ++served;
      harness.answer(id, endpoint);
    }
  }
  EXPECT_EQ(health_checks, 3000U);
  EXPECT_EQ(served, 3000U);
}

TEST(RouterHealthCheck, ReadWithoutCurrentReplicaChecksThenReachesPrimary) {
  RouterHarness harness;
  harness.deliver_list({make_endpoint(1), make_endpoint(2)});
  harness.report_health(1, Role::Primary, 0ms);
  harness.report_health(2, Role::Replica, 1200ms);

  harness.now += 200ms;
  harness.send_request(kBoundedRead);
  EXPECT_FALSE(harness.actions_of<SendHealthCheck>().empty());
  harness.run_timers_for(250ms);
  EXPECT_EQ(harness.attempted_endpoint(), 1U);
}

TEST(RouterHealthCheck, FailedChecksEjectNoEndpoint) {
  RouterHarness harness;
  harness.list_healthy_group();
  for (int i = 0; i < 5; ++i)
    harness.fail_health_check(3);

  std::set<EndpointId> used;
  for (int i = 0; i < 60; ++i) {
    const std::string id = harness.send_request(kEventualRead);
    ASSERT_NE(harness.attempted_endpoint(), kNoEndpoint);
    used.insert(harness.attempted_endpoint());
    harness.answer(id, harness.attempted_endpoint());
  }

  EXPECT_EQ(used.count(3), 1U) << "endpoints may serve while their health checks fail";
}

TEST(RouterHealthCheck, NumberIsBoundedByOwnRequests) {
  RouterHarness harness;
  std::vector<Endpoint> many;
  for (EndpointId id = 1; id <= 200; ++id)
    many.push_back(make_endpoint(id));

  harness.deliver_list(many);
  std::size_t count = harness.actions_of<SendHealthCheck>().size();
  EXPECT_LE(count, 20U);

  // A read of a group without a primary may exceed the budget, but does not check all endpoints.
  harness.send_request(kBoundedRead);
  EXPECT_LE(harness.actions_of<SendHealthCheck>().size(), 14U);

  harness.report_health(1, Role::Primary, 0ms);
  for (int i = 0; i < 100; ++i) {
    harness.send_request(kBoundedRead);
    count += harness.actions_of<SendHealthCheck>().size();
    harness.now += 10ms;
  }
  EXPECT_LE(count, 40U);
}

}  // namespace
}  // namespace gorsebeam::router_test
