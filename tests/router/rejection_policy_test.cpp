#include "router/rejection_policy.h"

#include "policy_fixture.h"

namespace gorsebeam::router {
namespace {

class RejectionPolicyTest : public PolicyFixture {
protected:
  RetryPolicy retries_{state_};
  RejectionPolicy rejections_{state_, retries_};
};

TEST_F(RejectionPolicyTest, RejectsOverTheRateLimitWithRetryAfter) {
  PendingRequest& request = add_request(kRead);
  EXPECT_FALSE(rejections_.reject_over_rate_limit(request));
  request.request.rate_limit_retry_after = 40ms;
  EXPECT_TRUE(rejections_.reject_over_rate_limit(request));
  ASSERT_EQ(actions_of<RejectRequest>().size(), 1U);
  EXPECT_EQ(actions_of<RejectRequest>()[0].retry_after, 40ms);
  EXPECT_EQ(actions_of<RejectRequest>()[0].reason, AnswerReason::RateLimit);
}

TEST_F(RejectionPolicyTest, NamesTheReasonToGiveUp) {
  PendingRequest& request = add_request(kWrite);
  EXPECT_EQ(rejections_.reason_to_give_up(request), std::nullopt);
  request.may_have_run_at = kStart;
  EXPECT_EQ(rejections_.reason_to_give_up(request), AnswerReason::UnsafeToRetry);
  state_.event.now = request.give_up_at;
  EXPECT_EQ(rejections_.reason_to_give_up(request), AnswerReason::OutOfTime);
}

TEST_F(RejectionPolicyTest, RejectsOnlyWhatIsSafeToSendAgain) {
  PendingRequest& read = add_request(kRead);
  read.may_have_run_at = kStart;
  rejections_.give_up(read, AnswerReason::OutOfTime);
  PendingRequest& write = add_request(kWrite);
  write.may_have_run_at = kStart;
  rejections_.give_up(write, AnswerReason::OutOfTime);
  ASSERT_EQ(actions_of<RejectRequest>().size(), 1U);
  EXPECT_EQ(actions_of<RejectRequest>()[0].request_id, read.request.id);
  ASSERT_EQ(actions_of<FailRequest>().size(), 1U);
  EXPECT_EQ(actions_of<FailRequest>()[0].request_id, write.request.id);
}

TEST_F(RejectionPolicyTest, GivesNoSecondFinalAnswerAndNoneWithAnAttemptInFlight) {
  PendingRequest& request = add_request(kRead);
  request.in_flight = 1;
  rejections_.give_up(request, AnswerReason::OutOfTime);
  EXPECT_TRUE(actions_.empty());
  request.in_flight = 0;
  rejections_.give_up(request, AnswerReason::OutOfTime);
  rejections_.give_up(request, AnswerReason::OutOfTime);
  EXPECT_EQ(actions_.size(), 1U);
}

TEST_F(RejectionPolicyTest, WaitsHalfOfTheTimeForAnUnknownPrimary) {
  PendingRequest& request = add_request(kWrite);
  ReplicaGroup& group = state_.endpoints.group(0);
  group.primary_evidence_at = kStart - 2s;
  state_.event.now = kStart + 1s;
  EXPECT_FALSE(rejections_.cannot_find_primary_in_time(request, group)) << "the primary is known";
  group.primary.reset();
  EXPECT_TRUE(rejections_.cannot_find_primary_in_time(request, group));
  state_.event.now = kStart + 900ms;
  EXPECT_FALSE(rejections_.cannot_find_primary_in_time(request, group));
}

}  // namespace
}  // namespace gorsebeam::router
