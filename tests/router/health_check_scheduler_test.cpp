/// Tests of src/router/health_check_scheduler.h.
#include "router/health_check_scheduler.h"

#include "endpoint_fixture.h"

namespace gorsebeam::router {
namespace {

class HealthCheckSchedulerTest : public EndpointFixture {
protected:
  void use_up_budget() {
    for (EndpointId id = 100; id < 110; ++id)
      EXPECT_TRUE(scheduler_.check(add_endpoint(id))) << id;
    actions_.clear();
    group().endpoints.clear();
  }

  Settings settings_;
  HealthCheckScheduler scheduler_{event_, settings_, endpoints_};
};

TEST_F(HealthCheckSchedulerTest, SendsOneCheckAtATime) {
  EndpointState& endpoint = add_endpoint(1);
  EXPECT_TRUE(scheduler_.check(endpoint));
  event_.now += 1000ms;
  EXPECT_FALSE(scheduler_.check(endpoint));
  EXPECT_EQ(count_actions<SendHealthCheck>(), 1U);
}

TEST_F(HealthCheckSchedulerTest, KeepsTheGapBetweenChecks) {
  EndpointState& endpoint = add_endpoint(1);
  EXPECT_TRUE(scheduler_.check(endpoint));
  endpoint.has_health_check = false;
  event_.now = kStart + kHealthCheckGap - 1ns;
  EXPECT_FALSE(scheduler_.check(endpoint));
  event_.now = kStart + kHealthCheckGap;
  EXPECT_TRUE(scheduler_.check(endpoint));
}

TEST_F(HealthCheckSchedulerTest, ChecksNothingWhereNotAllowedOrNotUsable) {
  EndpointState& endpoint = add_endpoint(1);
  endpoint.listing.status = EndpointStatus::Draining;
  EXPECT_FALSE(scheduler_.check(endpoint));
  endpoint.listing.status = EndpointStatus::Up;
  settings_.health_checks_allowed = false;
  EXPECT_FALSE(scheduler_.check(endpoint, kHealthCheckGap, HealthCheckBudget::Exempt));
  EXPECT_TRUE(actions_.empty());
}

TEST_F(HealthCheckSchedulerTest, LimitsChecksToTenAndExemptsSome) {
  use_up_budget();
  EndpointState& endpoint = add_endpoint(1);
  EXPECT_FALSE(scheduler_.check(endpoint));
  EXPECT_TRUE(scheduler_.check(endpoint, kHealthCheckGap, HealthCheckBudget::Exempt));
}

TEST_F(HealthCheckSchedulerTest, ARequestAccruesATenthOfACheck) {
  use_up_budget();
  EndpointState& endpoint = add_endpoint(1);
  for (int i = 0; i < 9; ++i)
    scheduler_.accrue_budget(false, 0);
  EXPECT_FALSE(scheduler_.check(endpoint));
  scheduler_.accrue_budget(false, 0);
  scheduler_.accrue_budget(false, 0);
  EXPECT_TRUE(scheduler_.check(endpoint));
}

TEST_F(HealthCheckSchedulerTest, AReadThatNeedsItsOwnCheckAccruesMoreWhilePrimariesAreSaturated) {
  settings_.health_check_cost = 0.5;
  use_up_budget();
  EndpointState& endpoint = add_endpoint(1);
  scheduler_.accrue_budget(true, 0);
  EXPECT_FALSE(scheduler_.check(endpoint)) << "the read adds 0.04 / 0.5 of a check";
  scheduler_.accrue_budget(true, 1);
  EXPECT_TRUE(scheduler_.check(endpoint))
      << "the read adds a whole check while primaries are saturated";
}

TEST_F(HealthCheckSchedulerTest, RefreshesEjectedEndpointsThatACheckCanReadmit) {
  add_endpoint(1).is_ejected = true;
  EndpointState& timed_out = add_endpoint(2);
  timed_out.is_ejected = true;
  timed_out.needs_recovery_attempt = true;
  scheduler_.refresh_group(group(), {});
  ASSERT_EQ(actions_.size(), 1U);
  EXPECT_EQ(std::get<SendHealthCheck>(actions_[0]).endpoint, 1U);
}

TEST_F(HealthCheckSchedulerTest, RefreshesPositionsAtHalfTheStalenessBound) {
  settings_.load_reports_contain_positions = true;
  RequestClass bounded;
  bounded.consistency = ConsistencyLevel::BoundedStaleness;
  bounded.max_staleness = 1000ms;
  group().sparse_bounded_reads = false;
  EndpointState& endpoint = add_endpoint(1);
  endpoint.position = position_at(kStart - 500ms);
  scheduler_.refresh_group(group(), bounded);
  EXPECT_TRUE(actions_.empty());
  event_.now += 1ns;
  scheduler_.refresh_group(group(), bounded);
  EXPECT_EQ(count_actions<SendHealthCheck>(), 1U);
}

TEST_F(HealthCheckSchedulerTest, ChecksNewEndpointsOfShortListsOnly) {
  EndpointState& endpoint = add_endpoint(1);
  scheduler_.check_new_endpoint(endpoint, 11);
  EXPECT_TRUE(actions_.empty());
  scheduler_.check_new_endpoint(endpoint, 10);
  EXPECT_EQ(count_actions<SendHealthCheck>(), 1U);
}

}  // namespace
}  // namespace gorsebeam::router
