#include "router/primary_discovery.h"

#include "policy_fixture.h"

namespace gorsebeam::router {
namespace {

Settings without_roles_in_reports(Settings settings) {
  settings.load_reports_contain_roles = false;
  return settings;
}

class PrimaryDiscoveryTest : public PolicyFixture {
protected:
  PrimaryDiscoveryTest() : PolicyFixture(without_roles_in_reports(default_settings())) {
    state_.endpoints.group(0).primary.reset();
  }

  RetryPolicy retries_{state_};
  LoadAdmission admission_{state_};
  SlowStartBudget budget_{state_};
  EndpointSelector selector_{state_, admission_, budget_};
  AttemptStarter starter_{state_, retries_, budget_};
  PrimaryDiscovery discovery_{state_, selector_, admission_, starter_};
};

TEST_F(PrimaryDiscoveryTest, SendsOneWriteAtATimeToTheMostAdvancedEndpoint) {
  state_.endpoints.at(3).position = position_at(kStart + 1ms);
  discovery_.discover_for(add_request(kWrite));
  discovery_.discover_for(add_request(kWrite));
  ASSERT_EQ(actions_of<StartAttempt>().size(), 1U);
  EXPECT_EQ(actions_of<StartAttempt>()[0].endpoint, 3U);
  state_.event.now += kHealthCheckGap;
  discovery_.discover_for(add_request(kWrite));
  EXPECT_EQ(actions_of<StartAttempt>().size(), 2U);
}

TEST_F(PrimaryDiscoveryTest, SkipsEjectedEndpointsDuringTheirBackoff) {
  for (const EndpointId id : {1, 2, 3}) {
    state_.endpoints.at(id).is_ejected = true;
    state_.endpoints.at(id).next_recovery_at = kStart + 1s;
  }
  discovery_.discover_for(add_request(kWrite));
  EXPECT_TRUE(actions_of<StartAttempt>().empty());
  EXPECT_EQ(actions_of<SendHealthCheck>().size(), 3U);
}

TEST_F(PrimaryDiscoveryTest, SendsToAnEjectedPrimaryThatReportedItsPositionRecently) {
  state_.endpoints.group(0).primary = 2;
  for (const EndpointId id : {1, 2, 3}) {
    state_.endpoints.at(id).is_ejected = true;
    state_.endpoints.at(id).next_recovery_at = kStart + 1s;
    state_.endpoints.at(id).position_reported_at = kStart - 10ms;
  }
  discovery_.discover_for(add_request(kWrite));
  ASSERT_EQ(actions_of<StartAttempt>().size(), 1U);
  EXPECT_EQ(actions_of<StartAttempt>()[0].endpoint, 2U);
}

}  // namespace
}  // namespace gorsebeam::router
