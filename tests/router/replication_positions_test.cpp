/// Tests of src/router/replication_positions.h and src/router/slow_start.h.
#include "router/replication_positions.h"

#include "router/slow_start.h"

#include "endpoint_fixture.h"

namespace gorsebeam::router {
namespace {

using ReplicationPositionsTest = EndpointFixture;
using SlowStartTest = EndpointFixture;

TEST_F(ReplicationPositionsTest, APositionNeverDecreases) {
  EndpointState& endpoint = add_endpoint(1);
  advance_replication_position(endpoints_, endpoint, ReplicationPosition(100ns), TimePoint(150ns));
  advance_replication_position(endpoints_, endpoint, ReplicationPosition(90ns), TimePoint(200ns));
  EXPECT_EQ(endpoint.position, ReplicationPosition(100ns));
  EXPECT_EQ(endpoint.position_reported_at, TimePoint(200ns));
}

TEST_F(ReplicationPositionsTest, AnAdvanceReleasesWaitingRequests) {
  EndpointState& endpoint = add_endpoint(1);
  group().waiting.insert(1);
  advance_replication_position(endpoints_, endpoint, ReplicationPosition(100ns), TimePoint(150ns));
  EXPECT_EQ(endpoints_.pop_dispatchable(), kGroup);
  advance_replication_position(endpoints_, endpoint, ReplicationPosition(100ns), TimePoint(160ns));
  EXPECT_EQ(endpoints_.pop_dispatchable(), std::nullopt);
}

TEST_F(ReplicationPositionsTest, IsKnownStaleUntilThePositionReachesWhatWasMissed) {
  EndpointState& endpoint = add_endpoint(1);
  EXPECT_FALSE(is_known_stale(endpoint));
  endpoint.stale_before = ReplicationPosition(100ns);
  EXPECT_TRUE(is_known_stale(endpoint));
  endpoint.position = ReplicationPosition(100ns);
  EXPECT_FALSE(is_known_stale(endpoint));
}

TEST_F(ReplicationPositionsTest, RequiredPositionFollowsTheConsistencyLevel) {
  PendingRequest request;
  request.arrived_at = TimePoint(900ns);
  request.session_token = ReplicationPosition(700ns);
  RequestClass request_class;
  request_class.max_staleness = 400ns;
  request_class.consistency = ConsistencyLevel::BoundedStaleness;
  EXPECT_EQ(required_position(request_class, request, TimePoint(1000ns)),
            ReplicationPosition(600ns));
  request_class.consistency = ConsistencyLevel::Session;
  EXPECT_EQ(required_position(request_class, request, TimePoint(1000ns)),
            ReplicationPosition(700ns));
  request_class.consistency = ConsistencyLevel::Strong;
  EXPECT_EQ(required_position(request_class, request, TimePoint(1000ns)),
            ReplicationPosition(900ns));
  request_class.consistency = ConsistencyLevel::Eventual;
  EXPECT_EQ(required_position(request_class, request, TimePoint(1000ns)), kUnknownPosition);
  request_class.consistency = ConsistencyLevel::Write;
  EXPECT_EQ(required_position(request_class, request, TimePoint(1000ns)), kUnknownPosition);
}

TEST_F(ReplicationPositionsTest, OnlyAKnownPositionProvesAnEndpointCurrent) {
  EndpointState& endpoint = add_endpoint(1);
  RequestClass session;
  session.consistency = ConsistencyLevel::Session;
  PendingRequest request;
  EXPECT_FALSE(is_proven_current(endpoint, session, request, kStart))
      << "its position is not known";
  endpoint.position = ReplicationPosition(100ns);
  EXPECT_TRUE(is_proven_current(endpoint, session, request, kStart));
  request.session_token = ReplicationPosition(101ns);
  EXPECT_FALSE(is_proven_current(endpoint, session, request, kStart));
}

TEST_F(SlowStartTest, CapacityRisesFromTheInitialFractionToAll) {
  Settings settings;
  settings.slow_start_duration = 1000ns;
  settings.slow_start_initial_capacity = 0.2;
  EndpointState& endpoint = add_endpoint(1);
  EXPECT_DOUBLE_EQ(slow_start_capacity(endpoint, settings, kStart), 1);
  endpoint.slow_start_since = kStart;
  EXPECT_DOUBLE_EQ(slow_start_capacity(endpoint, settings, kStart - 10ns), 0.2);
  EXPECT_DOUBLE_EQ(slow_start_capacity(endpoint, settings, kStart), 0.2);
  EXPECT_DOUBLE_EQ(slow_start_capacity(endpoint, settings, kStart + 500ns), 0.6);
  EXPECT_DOUBLE_EQ(slow_start_capacity(endpoint, settings, kStart + 1000ns), 1);
}

}  // namespace
}  // namespace gorsebeam::router
