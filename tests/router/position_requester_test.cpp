#include "router/position_requester.h"

#include "policy_fixture.h"

namespace gorsebeam::router {
namespace {

class PositionRequesterTest : public PolicyFixture {
protected:
  PositionRequesterTest() {
    for (const EndpointId id : {2, 3})
      state_.endpoints.at(id).position = position_at(kStart - 1100ms);
  }

  LoadAdmission admission_{state_};
  SlowStartBudget budget_{state_};
  EndpointSelector selector_{state_, admission_, budget_};
  PositionRequester positions_{state_, selector_};
};

TEST_F(PositionRequesterTest, ChecksOneReplicaWhereBoundedReadsAreSparse) {
  state_.endpoints.group(0).sparse_bounded_reads = true;
  EXPECT_TRUE(positions_.request_positions(add_request(kRead)));
  EXPECT_TRUE(positions_.request_positions(add_request(kRead)));
  EXPECT_EQ(actions_of<SendHealthCheck>().size(), 1U);
}

TEST_F(PositionRequesterTest, ChecksEachReplicaWhereBoundedReadsAreFrequent) {
  state_.endpoints.group(0).sparse_bounded_reads = false;
  EXPECT_TRUE(positions_.request_positions(add_request(kRead)));
  EXPECT_EQ(actions_of<SendHealthCheck>().size(), 2U);
}

TEST_F(PositionRequesterTest, ExpectsNoPositionOfReplicasThatCannotCatchUpInTime) {
  state_.endpoints.group(0).sparse_bounded_reads = false;
  for (const EndpointId id : {2, 3})
    state_.endpoints.at(id).position = position_at(kStart - 1300ms);
  EXPECT_FALSE(positions_.request_positions(add_request(kRead)));
}

TEST_F(PositionRequesterTest, ChecksAllEndpointsOnceForAReadOfAGroupWithoutPrimary) {
  state_.endpoints.group(0).primary.reset();
  const PendingRequest& read = add_request(kRead);
  EXPECT_TRUE(positions_.request_positions(read));
  EXPECT_EQ(actions_of<SendHealthCheck>().size(), 3U);
}

}  // namespace
}  // namespace gorsebeam::router
