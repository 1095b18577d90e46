// Tests what may be sent, retried and rejected, depending on what the broker has observed.
#include "proxy/invariant_guard.h"

#include <gtest/gtest.h>

#include <optional>

using namespace gorsebeam;
using namespace gorsebeam::proxy;

namespace {

constexpr EndpointId kEndpoint = 7;
constexpr GroupId kGroup = 3;

// The indexes of the request classes in the settings.
constexpr std::size_t kIdempotent = 0;
constexpr std::size_t kDeduplicatedInGroup = 1;
constexpr std::size_t kDeduplicatedEverywhere = 2;
constexpr std::size_t kNotIdempotent = 3;

RequestClass make_class(Idempotency idempotency, DeduplicationScope scope) {
  RequestClass made;
  made.idempotency = idempotency;
  made.deduplication_scope = scope;
  made.deduplication_window = 2s;
  return made;
}

Settings make_settings() {
  Settings settings;
  settings.classes = {make_class(Idempotency::Idempotent, DeduplicationScope::All),
                      make_class(Idempotency::IdempotencyKey, DeduplicationScope::Group),
                      make_class(Idempotency::IdempotencyKey, DeduplicationScope::All),
                      make_class(Idempotency::NotIdempotent, DeduplicationScope::All)};
  settings.max_attempts = 3;
  return settings;
}

class InvariantGuardTest : public testing::Test {
protected:
  InvariantGuardTest() { guard_.record_listed(kEndpoint, kGroup, EndpointStatus::Up); }

  static RequestHistory open_request(std::size_t class_index) {
    RequestHistory request;
    request.class_index = class_index;
    request.group = kGroup;
    request.is_open = true;
    return request;
  }

  static RequestHistory request_that_may_have_run(std::size_t class_index) {
    RequestHistory request = open_request(class_index);
    request.written_attempts = 1;
    request.may_have_run_since = TimePoint{};
    return request;
  }

  Settings settings_ = make_settings();
  InvariantGuard guard_{settings_};
};

TEST_F(InvariantGuardTest, AllowsFirstAttemptAtListedEndpoint) {
  EXPECT_EQ(guard_.check_attempt(open_request(kNotIdempotent), kEndpoint, TimePoint{}),
            std::nullopt);
}

TEST_F(InvariantGuardTest, DeniesEndpointThatDrainsOrIsNotListed) {
  guard_.record_listed(kEndpoint, kGroup, EndpointStatus::Draining);
  EXPECT_EQ(guard_.check_endpoint(kEndpoint), Violation::EndpointDraining);
  EXPECT_EQ(guard_.check_attempt(open_request(kIdempotent), kEndpoint, TimePoint{}),
            Violation::EndpointDraining);
  guard_.record_unlisted(kEndpoint);
  EXPECT_EQ(guard_.check_endpoint(kEndpoint), Violation::EndpointUnknown);
  guard_.record_listed(kEndpoint, kGroup, EndpointStatus::Up);
  EXPECT_EQ(guard_.check_endpoint(kEndpoint), std::nullopt) << "listed as up again";
}

TEST_F(InvariantGuardTest, DeniesEndpointOfAnotherGroup) {
  guard_.record_listed(kEndpoint, kGroup + 1, EndpointStatus::Up);
  EXPECT_EQ(guard_.check_attempt(open_request(kIdempotent), kEndpoint, TimePoint{}),
            Violation::EndpointUnknown);
}

TEST_F(InvariantGuardTest, DeniesRemovedEndpointOnlyAfterADrainWhereRemovedEndpointsMayServe) {
  settings_.removed_endpoints_may_serve = true;
  guard_.record_listed(kEndpoint, kGroup, EndpointStatus::Removed);
  EXPECT_EQ(guard_.check_endpoint(kEndpoint), std::nullopt);
  guard_.record_listed(kEndpoint, kGroup, EndpointStatus::Draining);
  guard_.record_listed(kEndpoint, kGroup, EndpointStatus::Removed);
  EXPECT_EQ(guard_.check_endpoint(kEndpoint), Violation::EndpointDraining);
}

TEST_F(InvariantGuardTest, DeniesAttemptBesideAnotherUnlessHedgingIsAllowed) {
  RequestHistory request = open_request(kIdempotent);
  request.written_attempts = 1;
  request.in_flight = 1;
  EXPECT_EQ(guard_.check_attempt(request, kEndpoint, TimePoint{}), Violation::SecondInFlight);
  settings_.hedging_allowed = true;
  EXPECT_EQ(guard_.check_attempt(request, kEndpoint, TimePoint{}), std::nullopt);
}

TEST_F(InvariantGuardTest, DeniesAttemptsOfEndedRequestsAndBeyondTheLimit) {
  RequestHistory request = open_request(kIdempotent);
  request.written_attempts = 3;
  EXPECT_EQ(guard_.check_attempt(request, kEndpoint, TimePoint{}), Violation::AttemptsExceeded);
  request.is_open = false;
  EXPECT_EQ(guard_.check_attempt(request, kEndpoint, TimePoint{}), Violation::AttemptAfterEnd);
}

TEST_F(InvariantGuardTest, AllowsRetriesOnlyAsTheRequestClassDoes) {
  EXPECT_EQ(guard_.check_attempt(request_that_may_have_run(kIdempotent), kEndpoint, TimePoint(9s)),
            std::nullopt);
  EXPECT_EQ(
      guard_.check_attempt(request_that_may_have_run(kNotIdempotent), kEndpoint, TimePoint(1ns)),
      Violation::RetryNotAllowed);
  for (const std::size_t keyed : {kDeduplicatedInGroup, kDeduplicatedEverywhere}) {
    const RequestHistory request = request_that_may_have_run(keyed);
    EXPECT_EQ(guard_.check_attempt(request, kEndpoint, TimePoint(2s - 1ns)), std::nullopt);
    EXPECT_EQ(guard_.check_attempt(request, kEndpoint, TimePoint(2s)), Violation::RetryNotAllowed);
  }
}

TEST_F(InvariantGuardTest, RejectsOnlyRequestsThatAreSafeToSendAgain) {
  EXPECT_EQ(guard_.check_rejection(open_request(kNotIdempotent)), std::nullopt);
  EXPECT_EQ(guard_.check_rejection(request_that_may_have_run(kIdempotent)), std::nullopt);
  EXPECT_EQ(guard_.check_rejection(request_that_may_have_run(kDeduplicatedEverywhere)),
            std::nullopt);
  EXPECT_EQ(guard_.check_rejection(request_that_may_have_run(kDeduplicatedInGroup)),
            Violation::UnsafeRejection);
  EXPECT_EQ(guard_.check_rejection(request_that_may_have_run(kNotIdempotent)),
            Violation::UnsafeRejection);
}

TEST_F(InvariantGuardTest, CountsEachKindOfViolation) {
  guard_.count(Violation::ClosedUnanswered);
  guard_.count(Violation::ClosedUnanswered);
  EXPECT_EQ(guard_.count_of(Violation::ClosedUnanswered), 2U);
  EXPECT_EQ(guard_.count_of(Violation::EndpointDraining), 0U);
}

}  // namespace
