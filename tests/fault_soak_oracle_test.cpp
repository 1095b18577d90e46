#include "fault_soak/endpoint_capacity.h"
#include "fault_soak/oracle.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace fault_soak {
namespace {

constexpr int kGateway = 3;
constexpr int kEndpoint = 1;
constexpr int kOtherEndpoint = 2;
constexpr Millis kStart = 1'000'000;
constexpr Millis kTimeout = 2000;
constexpr Millis kDeadline = kStart + kTimeout;

class OracleTest : public testing::Test {
protected:
  OracleTest() { oracle_.gateway_started(kGateway, kStart - 5000); }

  void send_request(ServiceClass service_class = ServiceClass::Idempotent) {
    oracle_.request_sent(kGateway, "r", service_class, kDeadline, kStart);
  }

  // Records an attempt at `endpoint` that arrives `delay` after the request and ends with `effect`.
  void attempt(int endpoint, Millis delay, Effect effect) {
    oracle_.attempt_arrived(endpoint, "r", kTimeout - delay, kStart + delay);
    oracle_.attempt_ended(endpoint, "r", effect);
  }

  [[nodiscard]] std::vector<std::string> violated_rules() const {
    std::vector<std::string> rules;
    for (const Violation& violation : oracle_.violations())
      rules.push_back(violation.rule);
    return rules;
  }

  Oracle oracle_{kDeduplicationWindow};
};

using Rules = std::vector<std::string>;

TEST_F(OracleTest, AcceptsRequestWithOneAttemptAndOneResponse) {
  send_request();
  attempt(kEndpoint, 5, Effect::MayHaveRun);
  oracle_.response_received("r", kStart + 20);
  oracle_.check_overdue(kDeadline + 10'000);
  EXPECT_EQ(violated_rules(), Rules{});
  EXPECT_EQ(oracle_.request_count(), 1U);
  EXPECT_EQ(oracle_.attempt_count(), 1U);
}

TEST_F(OracleTest, ReportsSecondResponse) {
  send_request();
  oracle_.response_received("r", kStart + 20);
  oracle_.response_received("r", kStart + 21);
  EXPECT_EQ(violated_rules(), Rules{"responses"});
}

TEST_F(OracleTest, ReportsResponsesAndAttemptsOfUnknownRequests) {
  oracle_.response_received("unknown", kStart);
  oracle_.attempt_arrived(kEndpoint, "unknown", kTimeout, kStart);
  EXPECT_EQ(violated_rules(), (Rules{"unknown", "unknown"}));
}

TEST_F(OracleTest, ReportsMissingResponseOnceAfterDeadlineAndSlack) {
  send_request();
  const Millis limit = kDeadline + kResponseSlack + kRecordSlack;
  oracle_.check_overdue(limit - 1);
  EXPECT_EQ(violated_rules(), Rules{});
  oracle_.check_overdue(limit);
  oracle_.check_overdue(limit + 1);
  EXPECT_EQ(violated_rules(), Rules{"lost"});
}

TEST_F(OracleTest, ExcusesLateResponseByPauseOfProcess) {
  send_request();
  oracle_.gateway_paused(kGateway, kStart + 100);
  oracle_.gateway_resumed(kGateway, kStart + 3100);
  oracle_.response_received("r", kDeadline + kResponseSlack + kRecordSlack + 3000);
  EXPECT_EQ(violated_rules(), Rules{});
}

TEST_F(OracleTest, ReportsResponseBeyondDeadlineAndPause) {
  send_request();
  oracle_.gateway_paused(kGateway, kStart + 100);
  oracle_.gateway_resumed(kGateway, kStart + 3100);
  oracle_.response_received("r", kDeadline + kResponseSlack + kRecordSlack + 3001);
  EXPECT_EQ(violated_rules(), Rules{"lost"});
}

TEST_F(OracleTest, ExpectsNoResponseFromKilledProcess) {
  send_request();
  oracle_.gateway_killed(kGateway, kStart + 10);
  oracle_.check_overdue(kDeadline + 10'000);
  EXPECT_EQ(violated_rules(), Rules{});
}

// Guards against requests that a terminated process accepts and never answers.
TEST_F(OracleTest, ReportsRequestsThatAreOpenWhenATerminatedProcessIsKilled) {
  oracle_.gateway_terminated(kGateway, kStart - 2500);
  send_request();
  oracle_.gateway_killed(kGateway, kStart + 700);
  EXPECT_EQ(violated_rules(), Rules{"lost"});
}

TEST_F(OracleTest, ExcusesOpenRequestsOfATerminatedProcessThatWasPaused) {
  oracle_.gateway_terminated(kGateway, kStart - 2500);
  oracle_.gateway_paused(kGateway, kStart - 100);
  oracle_.gateway_resumed(kGateway, kStart + 600);
  send_request();
  oracle_.gateway_killed(kGateway, kStart + 700);
  EXPECT_EQ(violated_rules(), Rules{});
}

TEST_F(OracleTest, ExpectsResponsesToRequestsThatFollowSigterm) {
  oracle_.gateway_terminated(kGateway, kStart - 2500);
  send_request();
  oracle_.check_overdue(kDeadline + 10'000);
  EXPECT_EQ(violated_rules(), Rules{"lost"});
}

TEST_F(OracleTest, ReportsTrafficToDrainingEndpointAfterGrace) {
  oracle_.endpoint_listed_as_draining(kGateway, kEndpoint, kStart);
  const Millis limit = kStart + kDrainGrace + kRecordSlack;
  oracle_.health_check_arrived(kGateway, kEndpoint, limit);
  oracle_.health_check_arrived(kGateway, kOtherEndpoint, limit + 1);
  EXPECT_EQ(violated_rules(), Rules{});
  oracle_.health_check_arrived(kGateway, kEndpoint, limit + 1);
  EXPECT_EQ(violated_rules(), Rules{"drain"});
}

// The drain grace counts from the first list that shows the endpoint as draining. Neither a later
// list nor a pause of the process extends it.
TEST_F(OracleTest, CountsDrainGraceFromFirstListThroughPause) {
  oracle_.endpoint_listed_as_draining(kGateway, kEndpoint, kStart);
  oracle_.gateway_paused(kGateway, kStart);
  oracle_.endpoint_listed_as_draining(kGateway, kEndpoint, kStart + 300);
  oracle_.gateway_resumed(kGateway, kStart + 400);
  oracle_.health_check_arrived(kGateway, kEndpoint, kStart + 401);
  EXPECT_EQ(violated_rules(), Rules{"drain"});
}

TEST_F(OracleTest, AllowsTrafficToEndpointThatIsListedAsUpAgain) {
  oracle_.endpoint_listed_as_draining(kGateway, kEndpoint, kStart);
  oracle_.endpoint_listed_as_up(kGateway, kEndpoint);
  oracle_.health_check_arrived(kGateway, kEndpoint, kStart + 5000);
  EXPECT_EQ(violated_rules(), Rules{});
}

TEST_F(OracleTest, ReportsTwoAttemptsInFlight) {
  send_request();
  oracle_.attempt_arrived(kEndpoint, "r", kTimeout, kStart + 1);
  oracle_.attempt_arrived(kOtherEndpoint, "r", kTimeout, kStart + 2);
  EXPECT_EQ(violated_rules(), Rules{"duplicate"});
}

/// A first attempt with `first_effect`, a second one `retry_delay` after the request, and the rules
/// that the second one violates.
struct RetryCase {
  ServiceClass service_class;
  Effect first_effect;
  Millis retry_delay;
  Rules rules;
};

TEST_F(OracleTest, ChecksRetriesByClassEffectAndWindow) {
  constexpr Millis kWindowEnd = 5 + kDeduplicationWindow + kDeadlineSlack + kRecordSlack;
  const std::vector<RetryCase> cases{
      {ServiceClass::Idempotent, Effect::MayHaveRun, kWindowEnd + 1, {}},
      {ServiceClass::Keyed, Effect::MayHaveRun, kWindowEnd, {}},
      {ServiceClass::Keyed, Effect::MayHaveRun, kWindowEnd + 1, {"duplicate"}},
      {ServiceClass::SingleShot, Effect::None, 20, {}},
      {ServiceClass::SingleShot, Effect::MayHaveRun, 20, {"duplicate"}},
  };
  for (const RetryCase& retry : cases) {
    oracle_ = Oracle(kDeduplicationWindow);
    send_request(retry.service_class);
    attempt(kEndpoint, 5, retry.first_effect);
    attempt(kOtherEndpoint, retry.retry_delay, Effect::MayHaveRun);
    EXPECT_EQ(violated_rules(), retry.rules)
        << class_name(retry.service_class) << " after " << retry.retry_delay << " ms";
  }
}

TEST_F(OracleTest, ReportsBoundedReadsOfOlderData) {
  send_request(ServiceClass::BoundedRead);
  const Millis limit = kMaxStaleness + kStalenessSlack + kRecordSlack;
  oracle_.read_arrived(kEndpoint, "r", limit, kStart + 5);
  EXPECT_EQ(violated_rules(), Rules{});
  oracle_.read_arrived(kEndpoint, "r", limit + 1, kStart + 6);
  EXPECT_EQ(violated_rules(), Rules{"stale"});
}

TEST_F(OracleTest, ReportsSessionReadsThatMissAnAcknowledgedWrite) {
  const Millis committed_at = kStart - 1000;
  oracle_.request_sent(kGateway, "w", ServiceClass::Keyed, kDeadline, committed_at - 10);
  oracle_.attempt_served("w", committed_at);
  oracle_.request_sent(kGateway, "early", ServiceClass::Idempotent, kDeadline, kStart);
  oracle_.write_acknowledged("w");
  send_request();
  oracle_.read_arrived(kEndpoint, "early", 5000, kStart + 5);
  oracle_.read_arrived(kEndpoint, "r", kStart + 5 - committed_at + kRecordSlack, kStart + 5);
  EXPECT_EQ(violated_rules(), Rules{});
  oracle_.read_arrived(kEndpoint, "r", kStart + 6 - committed_at + kRecordSlack, kStart + 5);
  EXPECT_EQ(violated_rules(), Rules{"stale"});
}

TEST_F(OracleTest, ReportsAttemptAfterClientDisconnected) {
  send_request();
  oracle_.client_disconnected("r", kStart + 10);
  const Millis limit = 10 + kDisconnectGrace + kRecordSlack;
  attempt(kEndpoint, limit, Effect::None);
  EXPECT_EQ(violated_rules(), Rules{});
  attempt(kEndpoint, limit + 1, Effect::None);
  EXPECT_EQ(violated_rules(), Rules{"lost"});
}

TEST_F(OracleTest, ReportsForwardedTimeBeyondClientsDeadline) {
  send_request();
  const Millis allowed = kTimeout - 500 + kDeadlineSlack + kRecordSlack;
  oracle_.attempt_arrived(kEndpoint, "r", allowed, kStart + 500);
  oracle_.attempt_ended(kEndpoint, "r", Effect::None);
  EXPECT_EQ(violated_rules(), Rules{});
  oracle_.attempt_arrived(kEndpoint, "r", allowed + 1, kStart + 500);
  EXPECT_EQ(violated_rules(), Rules{"deadline"});
}

TEST_F(OracleTest, ExcusesConnectionCloseThatRacesWithRequest) {
  send_request();
  const Millis just_before = kStart + kCloseRaceTime + kRecordSlack - 1;
  EXPECT_EQ(oracle_.connection_ended("r", just_before), ConnectionClose::RacedRequest);
  EXPECT_EQ(violated_rules(), Rules{});
}

TEST_F(OracleTest, ReportsConnectionCloseAfterAttempt) {
  send_request();
  attempt(kEndpoint, 5, Effect::None);
  EXPECT_EQ(oracle_.connection_ended("r", kStart + 10), ConnectionClose::Other);
  EXPECT_EQ(violated_rules(), Rules{"lost"});
}

// Sends so many further requests, each of which has one attempt at the endpoint.
void send_attempts(Oracle& oracle, int attempts) {
  for (int i = 0; i < attempts; ++i) {
    const std::string id = "r" + std::to_string(oracle.request_count());
    oracle.request_sent(kGateway, id, ServiceClass::Idempotent, kDeadline, kStart);
    oracle.attempt_arrived(kEndpoint, id, kTimeout, kStart);
  }
}

TEST_F(OracleTest, ReportsOverloadOfAStartedEndpointOnce) {
  oracle_.endpoint_started(kEndpoint, 77, kStart);
  oracle_.endpoint_start_listed(kGateway, kEndpoint, 77);
  send_attempts(oracle_, static_cast<int>(max_attempts_in_window(0)));
  EXPECT_EQ(violated_rules(), Rules{});
  send_attempts(oracle_, 2);
  EXPECT_EQ(violated_rules(), Rules{"overload"});
}

TEST_F(OracleTest, AllowsOverloadByGatewaysThatWereNotNotifiedOfTheStart) {
  oracle_.endpoint_started(kEndpoint, 77, kStart);
  oracle_.endpoint_start_listed(kGateway, kEndpoint, 76);
  send_attempts(oracle_, static_cast<int>(max_attempts_in_window(0)) + 2);
  EXPECT_EQ(violated_rules(), Rules{});
}

}  // namespace
}  // namespace fault_soak
