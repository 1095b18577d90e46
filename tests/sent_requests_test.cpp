/// Requests that come again after they may have run: which may be sent, and for how long that is
/// remembered.
#include "proxy/sent_requests.h"

#include "router_settings.h"

#include <gtest/gtest.h>

#include <string>

namespace gorsebeam::proxy {
namespace {

constexpr std::size_t kFree = 0;
constexpr std::size_t kKeyed = 1;
constexpr std::size_t kOnce = 2;
constexpr EndpointId kEndpoint = 7;

Settings make_settings() {
  using gorsebeam::test_support::make_request_class;
  Settings settings;
  settings.classes = {
      make_request_class("free", ConsistencyLevel::Eventual, Idempotency::Idempotent),
      make_request_class("keyed", ConsistencyLevel::Write, Idempotency::IdempotencyKey),
      make_request_class("once", ConsistencyLevel::Write, Idempotency::NotIdempotent)};
  for (RequestClass& request_class : settings.classes)
    request_class.deadline = 3s;
  settings.classes[kKeyed].deduplication_window = 2s;
  return settings;
}

Request make_request(std::size_t class_index, const std::string& id, const std::string& key = "") {
  Request request;
  request.id = id;
  request.class_index = class_index;
  request.idempotency_key = key;
  return request;
}

class SentRequestsTest : public testing::Test {
protected:
  /// Records that an attempt of `request` was written at `sent_at`.
  void send(const Request& request, TimePoint sent_at) {
    sent_.record_attempt(sent_.keys_of(request), kEndpoint, sent_at);
  }

  Repetition check(const Request& request, TimePoint now) {
    return sent_.check(request, sent_.keys_of(request), now).repetition;
  }

  Settings settings_ = make_settings();
  SentRequests sent_{settings_, 1, 6};
};

// Guards against a request that runs twice when it comes again under its id after its client left.
TEST_F(SentRequestsTest, AnIdThatMayHaveRunIsNotAcceptedAgain) {
  for (const std::size_t class_index : {kFree, kKeyed, kOnce}) {
    const Request request = make_request(class_index, "r" + std::to_string(class_index), "k");
    EXPECT_EQ(check(request, TimePoint(0s)), Repetition::None);
    send(request, TimePoint(0s));
    EXPECT_EQ(check(request, TimePoint(1s)), Repetition::IdUsed) << class_index;
    EXPECT_EQ(check(request, TimePoint(5s)), Repetition::IdUsed) << class_index;
  }
}

TEST_F(SentRequestsTest, ARetryMarkDoesNotPermitAUsedId) {
  Request request = make_request(kKeyed, "r", "k");
  send(request, TimePoint(0s));
  request.is_client_retry = true;
  EXPECT_EQ(check(request, TimePoint(1s)), Repetition::IdUsed);
}

TEST_F(SentRequestsTest, AProtocolThatRepeatsIdsIsPermittedWhatTheClassPermits) {
  Request read = make_request(kFree, "read");
  read.id_names_retries = true;
  Request write = make_request(kKeyed, "write", "k");
  write.id_names_retries = true;
  Request once = make_request(kOnce, "once");
  once.id_names_retries = true;
  for (const Request& request : {read, write, once})
    send(request, TimePoint(0s));
  EXPECT_EQ(check(read, TimePoint(1s)), Repetition::Permitted);
  EXPECT_EQ(check(write, TimePoint(1s)), Repetition::Permitted);
  EXPECT_EQ(check(once, TimePoint(1s)), Repetition::IdUsed);
  EXPECT_EQ(check(write, TimePoint(2s)), Repetition::KeyExpired);
  write.idempotency_key = "another";
  EXPECT_EQ(check(write, TimePoint(1s)), Repetition::IdUsed);
}

// Guards against a write that runs twice because its retry, under a new id, began a window of its
// own.
TEST_F(SentRequestsTest, AKeyIsSentOnlyWithinTheWindowOfItsFirstAttempt) {
  const Request first = make_request(kKeyed, "r1", "k");
  const Request second = make_request(kKeyed, "r2", "k");
  send(first, TimePoint(1s));
  const RepetitionCheck within = sent_.check(second, sent_.keys_of(second), TimePoint(2900ms));
  EXPECT_EQ(within.repetition, Repetition::Permitted);
  ASSERT_TRUE(within.earlier_attempt.has_value());
  EXPECT_EQ(within.earlier_attempt->sent_at, TimePoint(1s));
  EXPECT_EQ(within.earlier_attempt->endpoint, kEndpoint);
  send(second, TimePoint(2900ms));
  EXPECT_EQ(check(make_request(kKeyed, "r3", "k"), TimePoint(3s)), Repetition::KeyExpired);
}

TEST_F(SentRequestsTest, AKeyBelongsToItsGroup) {
  send(make_request(kKeyed, "r1", "k"), TimePoint(0s));
  Request other = make_request(kKeyed, "r2", "k");
  other.group = 1;
  EXPECT_EQ(check(other, TimePoint(4s)), Repetition::None);
}

TEST_F(SentRequestsTest, AnAttemptThatDidNotRunIsForgotten) {
  const Request request = make_request(kKeyed, "r", "k");
  send(request, TimePoint(0s));
  sent_.forget_attempt(sent_.keys_of(request), TimePoint(0s));
  EXPECT_EQ(check(request, TimePoint(1s)), Repetition::None);
  send(request, TimePoint(1s));
  send(request, TimePoint(2s));
  sent_.forget_attempt(sent_.keys_of(request), TimePoint(2s));  // the first one may have run
  EXPECT_EQ(check(request, TimePoint(2s)), Repetition::IdUsed);
}

TEST_F(SentRequestsTest, EntriesExpireAfterTheLongestWindowAndDeadline) {
  const Request request = make_request(kKeyed, "r", "k");
  send(request, TimePoint(0s));
  EXPECT_EQ(check(request, TimePoint(6s)), Repetition::IdUsed);
  EXPECT_EQ(check(request, TimePoint(6001ms)), Repetition::None);
  EXPECT_EQ(sent_.size(), 0U);
}

TEST_F(SentRequestsTest, TheOldestEntriesAreDroppedBeyondTheLimit) {
  for (int i = 0; i < 100; ++i)
    send(make_request(kOnce, std::to_string(i)), TimePoint(std::chrono::milliseconds(i)));
  EXPECT_EQ(sent_.size(), 6U);
  EXPECT_EQ(check(make_request(kOnce, "93"), TimePoint(1s)), Repetition::None);
  EXPECT_EQ(check(make_request(kOnce, "94"), TimePoint(1s)), Repetition::IdUsed);
}

TEST_F(SentRequestsTest, ForgottenEntriesLeaveNothingBehindThatGrows) {
  const Request request = make_request(kOnce, "r");
  for (int i = 0; i < 100; ++i) {
    const TimePoint sent_at{std::chrono::milliseconds(i)};
    send(request, sent_at);
    sent_.forget_attempt(sent_.keys_of(request), sent_at);
  }
  send(request, TimePoint(1s));
  EXPECT_EQ(check(request, TimePoint(2s)), Repetition::IdUsed);
}

}  // namespace
}  // namespace gorsebeam::proxy
