/// Tests of src/router/role_evidence.h.
#include "router/role_evidence.h"

#include "endpoint_fixture.h"

namespace gorsebeam::router {
namespace {

using Source = RoleEvidence::Source;

class RoleTrackerTest : public EndpointFixture {
protected:
  RoleTracker roles_{event_, endpoints_};
};

TEST_F(RoleTrackerTest, ElectsTheEndpointThatClaimsToBePrimary) {
  EndpointState& endpoint = add_endpoint(1);
  roles_.record_role_evidence(endpoint, {true, kStart, Source::Report});
  EXPECT_EQ(group().primary, 1U);
  EXPECT_EQ(group().primary_evidence_at, kStart);
  EXPECT_EQ(count_logs<PrimaryElected>(), 1U);
}

TEST_F(RoleTrackerTest, NewerEvidenceMovesTheRoleAndOlderDoesNot) {
  EndpointState& first = add_endpoint(1);
  EndpointState& second = add_endpoint(2);
  roles_.record_role_evidence(first, {true, kStart, Source::Answer});
  roles_.record_role_evidence(second, {true, kStart, Source::Report});
  EXPECT_EQ(group().primary, 1U);
  roles_.record_role_evidence(second, {true, kStart + 1ns, Source::Report});
  EXPECT_EQ(group().primary, 2U);
}

TEST_F(RoleTrackerTest, ReportOlderThanADemotionDoesNotElectAgain) {
  EndpointState& endpoint = add_endpoint(1);
  roles_.record_role_evidence(endpoint, {true, kStart, Source::Answer});
  roles_.record_role_evidence(endpoint, {false, kStart + 2ns, Source::Answer});
  EXPECT_EQ(group().primary, std::nullopt);
  EXPECT_EQ(count_logs<PrimaryDemoted>(), 1U);
  roles_.record_role_evidence(endpoint, {true, kStart + 1ns, Source::Report});
  EXPECT_EQ(group().primary, std::nullopt);
}

TEST_F(RoleTrackerTest, OnlyAnAnswerEndsASuspicion) {
  EndpointState& endpoint = add_endpoint(1);
  roles_.record_role_evidence(endpoint, {true, kStart, Source::Answer});
  roles_.suspect_primary(endpoint);
  roles_.record_role_evidence(endpoint, {true, kStart + 1ns, Source::Report});
  EXPECT_TRUE(group().primary_suspected);
  roles_.record_role_evidence(endpoint, {true, kStart + 2ns, Source::Answer});
  EXPECT_FALSE(group().primary_suspected);
}

TEST_F(RoleTrackerTest, SuspectsOnlyThePrimaryAndLogsItOnce) {
  EndpointState& primary = add_endpoint(1);
  EndpointState& replica = add_endpoint(2);
  roles_.record_role_evidence(primary, {true, kStart, Source::Answer});
  roles_.suspect_primary(replica);
  EXPECT_FALSE(group().primary_suspected);
  roles_.suspect_primary(primary);
  roles_.suspect_primary(primary);
  EXPECT_TRUE(group().primary_suspected);
  EXPECT_EQ(count_logs<PrimarySuspected>(), 1U);
}

}  // namespace
}  // namespace gorsebeam::router
