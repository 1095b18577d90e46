#include "router/retry_policy.h"

#include "policy_fixture.h"

namespace gorsebeam::router {
namespace {

class RetryPolicyTest : public PolicyFixture {
protected:
  RetryPolicy retries_{state_};
};

TEST_F(RetryPolicyTest, IsSafeToRetryByIdempotencyAndWindow) {
  struct Case {
    std::size_t class_index;
    Duration since_attempt;
    bool is_safe;
  };

  for (const Case& test : {Case{kRead, 10s, true}, Case{kWrite, 0s, false},
                           Case{kKeyed, 1998ms, true}, Case{kKeyed, 1999ms, false}}) {
    PendingRequest& request = add_request(test.class_index);
    EXPECT_TRUE(retries_.is_safe_to_retry(request)) << "no attempt may have run";
    request.may_have_run_at = state_.event.now - test.since_attempt;
    EXPECT_EQ(retries_.is_safe_to_retry(request), test.is_safe)
        << "class " << test.class_index << ", " << test.since_attempt.count() << " ns";
  }
}

TEST_F(RetryPolicyTest, LimitsAttemptsBySettingsAndContract) {
  PendingRequest& request = add_request(kRead);
  for (std::uint32_t i = 0; i < state_.settings.max_attempts; ++i) {
    EXPECT_TRUE(retries_.has_attempts_left(request));
    add_ended_attempt(request, 2, kStart);
  }
  EXPECT_FALSE(retries_.has_attempts_left(request));
  PendingRequest& limited = add_request(kRead);
  limited.request.max_attempts = 1;
  add_ended_attempt(limited, 2, kStart);
  EXPECT_FALSE(retries_.has_attempts_left(limited));
}

TEST_F(RetryPolicyTest, AllowsNoAttemptAtADrainingOrStaleEndpoint) {
  const PendingRequest& read = add_request(kRead);
  EndpointState& replica = state_.endpoints.at(2);
  EXPECT_TRUE(retries_.is_attempt_allowed(read, replica));
  replica.position = position_at(kStart - 1001ms);
  EXPECT_FALSE(retries_.is_attempt_allowed(read, replica))
      << "the replica's position is older than the staleness bound";
  EndpointState& primary = state_.endpoints.at(1);
  EXPECT_TRUE(retries_.is_attempt_allowed(read, primary));
  primary.listing.status = EndpointStatus::Draining;
  EXPECT_FALSE(retries_.is_attempt_allowed(read, primary));
}

TEST_F(RetryPolicyTest, AllowsNoAttemptAfterTheDeadline) {
  const PendingRequest& read = add_request(kRead);
  state_.event.now = read.request.deadline;
  EXPECT_FALSE(retries_.is_attempt_allowed(read, state_.endpoints.at(1)));
}

TEST_F(RetryPolicyTest, DoublesTheBackoffAfterRejections) {
  PendingRequest& request = add_request(kWrite);
  const Duration first = retries_.retry_after_rejection(request) - state_.event.now;
  add_ended_attempt(request, 1, kStart);
  EXPECT_EQ(retries_.retry_after_rejection(request) - state_.event.now, 2 * first);
}

}  // namespace
}  // namespace gorsebeam::router
