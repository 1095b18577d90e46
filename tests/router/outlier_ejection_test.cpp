/// Tests of src/router/outlier_ejection.h.
#include "router/outlier_ejection.h"

#include "endpoint_fixture.h"

namespace gorsebeam::router {
namespace {

class OutlierEjectorTest : public EndpointFixture {
protected:
  static UpstreamAttempt recovery_attempt() {
    UpstreamAttempt attempt;
    attempt.is_recovery = true;
    return attempt;
  }

  Settings settings_;
  RoleTracker roles_{event_, endpoints_};
  OutlierEjector outliers_{event_, settings_, endpoints_, roles_};
};

TEST_F(OutlierEjectorTest, EjectsAfterTwoTimeoutsInARow) {
  EndpointState& endpoint = add_endpoint(1);
  outliers_.record_timeout(endpoint, {});
  EXPECT_FALSE(endpoint.is_ejected);
  outliers_.record_timeout(endpoint, {});
  EXPECT_TRUE(endpoint.is_ejected);
  EXPECT_TRUE(endpoint.needs_recovery_attempt);
  EXPECT_EQ(count_logs<EndpointEjected>(), 1U);
}

TEST_F(OutlierEjectorTest, AnAnswerBetweenTimeoutsResetsTheCount) {
  EndpointState& endpoint = add_endpoint(1);
  outliers_.record_timeout(endpoint, {});
  outliers_.record_answer(endpoint, {});
  outliers_.record_timeout(endpoint, {});
  EXPECT_FALSE(endpoint.is_ejected);
}

TEST_F(OutlierEjectorTest, OnlyTheAnswerToARecoveryAttemptReadmitsAfterTimeouts) {
  EndpointState& endpoint = add_endpoint(1);
  outliers_.eject(endpoint, RecoveryCondition::Attempt, EjectionReason::ConsecutiveTimeouts);
  outliers_.record_answer(endpoint, {});
  EXPECT_TRUE(endpoint.is_ejected);
  outliers_.record_answer(endpoint, recovery_attempt());
  EXPECT_FALSE(endpoint.is_ejected);
  EXPECT_FALSE(endpoint.needs_recovery_attempt);
  EXPECT_EQ(count_logs<EndpointReadmitted>(), 1U);
}

TEST_F(OutlierEjectorTest, RecoveryBackoffDoublesUpToFourSeconds) {
  EndpointState& endpoint = add_endpoint(1);
  for (const Duration expected : {500ms, 1000ms, 2000ms, 4000ms, 4000ms}) {
    outliers_.back_off_recovery(endpoint);
    EXPECT_EQ(endpoint.next_recovery_at, kStart + expected);
  }
}

TEST_F(OutlierEjectorTest, EjectsAReplicaByItsErrorRatioButNotThePrimary) {
  EndpointState& replica = add_endpoint(1);
  EndpointState& primary = add_endpoint(2);
  group().primary = 2;
  for (int i = 0; i < 2; ++i) {
    outliers_.record_error(replica, {});
    outliers_.record_error(primary, {});
  }
  EXPECT_FALSE(replica.is_ejected) << replica.error_ratio;
  outliers_.record_error(replica, {});
  outliers_.record_error(primary, {});
  EXPECT_TRUE(replica.is_ejected) << replica.error_ratio;
  EXPECT_FALSE(primary.is_ejected) << primary.error_ratio;
}

TEST_F(OutlierEjectorTest, SuccessesLowerTheErrorRatio) {
  EndpointState& endpoint = add_endpoint(1);
  endpoint.error_ratio = 0.2;
  OutlierEjector::record_success(endpoint);
  EXPECT_DOUBLE_EQ(endpoint.error_ratio, 0.18);
}

TEST_F(OutlierEjectorTest, EjectsAfterTwoConnectionsBrokenAtOnce) {
  EndpointState& endpoint = add_endpoint(1);
  const auto kind = ConnectionFailureKind::Immediate;
  EXPECT_FALSE(outliers_.record_connection_failure(endpoint, {}, kind));
  EXPECT_FALSE(endpoint.is_ejected);
  EXPECT_TRUE(outliers_.record_connection_failure(endpoint, {}, kind));
  EXPECT_TRUE(endpoint.is_ejected);
  EXPECT_TRUE(endpoint.may_have_restarted);
  EXPECT_FALSE(endpoint.needs_recovery_attempt);
}

TEST_F(OutlierEjectorTest, EjectsAtOnceWhenAConnectionRunsIntoItsTimeout) {
  EndpointState& endpoint = add_endpoint(1);
  EXPECT_TRUE(outliers_.record_connection_failure(endpoint, {}, ConnectionFailureKind::Slow));
  EXPECT_TRUE(endpoint.is_ejected);
  EXPECT_FALSE(endpoint.may_have_restarted);
}

TEST_F(OutlierEjectorTest, EjectingThePrimarySuspectsIt) {
  EndpointState& endpoint = add_endpoint(1);
  group().primary = 1;
  outliers_.eject(endpoint, RecoveryCondition::HealthCheck, EjectionReason::ConnectionFailure);
  EXPECT_TRUE(group().primary_suspected);
}

TEST_F(OutlierEjectorTest, AnEndpointThatAnswersSoonAfterABrokenConnectionHasNotRestarted) {
  EndpointState& endpoint = add_endpoint(1);
  endpoint.may_have_restarted = true;
  endpoint.first_break_at = kStart;
  event_.now = kStart + 299ms;
  outliers_.record_answer_on_connection(endpoint);
  EXPECT_FALSE(endpoint.may_have_restarted);
  EXPECT_EQ(endpoint.connection_breaks, 0);
  endpoint.may_have_restarted = true;
  event_.now = kStart + 300ms;
  outliers_.record_answer_on_connection(endpoint);
  EXPECT_TRUE(endpoint.may_have_restarted);
}

TEST_F(OutlierEjectorTest, NeedsSlowStartAfterAnOutageUnlessItAppliedTheLogMeanwhile) {
  settings_.overload_duration = 1000ms;
  EndpointState& silent = add_endpoint(1);
  EndpointState& applying = add_endpoint(2);
  outliers_.eject(silent, RecoveryCondition::HealthCheck, EjectionReason::ConnectionFailure);
  outliers_.eject(applying, RecoveryCondition::HealthCheck, EjectionReason::ConnectionFailure);
  event_.now = kStart + 2000ms;
  applying.position = position_at(event_.now - 500ms);
  outliers_.readmit(silent);
  outliers_.readmit(applying);
  EXPECT_EQ(silent.slow_start_since, event_.now);
  EXPECT_EQ(applying.slow_start_since, kUnknownTime);
}

TEST_F(OutlierEjectorTest, NeedsNoSlowStartAfterAnOutageTooShortForARestart) {
  settings_.overload_duration = 1000ms;
  EndpointState& endpoint = add_endpoint(1);
  outliers_.eject(endpoint, RecoveryCondition::HealthCheck, EjectionReason::ConnectionFailure);
  event_.now = kStart + 1000ms;
  outliers_.readmit(endpoint);
  EXPECT_EQ(endpoint.slow_start_since, kUnknownTime);
}

}  // namespace
}  // namespace gorsebeam::router
