// The outcome of a request when its endpoints respond as scripted, which is the same for each
// protocol.
#include "gateway_integration_test.h"

using namespace test_harness;

namespace {

constexpr int kAnyAttemptCount = -1;  // any number that the invariants allow

struct OutcomeCase {
  Request request;
  std::vector<ScriptedResponse> script;
  ClientResult result;
  int attempt_count;
};

std::vector<OutcomeCase> outcome_cases() {
  using Response = ScriptedResponse;
  constexpr auto kServed = ClientResult::Served;
  constexpr auto kRejected = ClientResult::Rejected;
  constexpr auto kFailed = ClientResult::Failed;
  return {
      {read_request("plain"), {Response::Succeed}, kServed, 1},
      {read_request("overloaded"), {Response::RejectOverloaded, Response::Succeed}, kServed, 2},
      {keyed_write("keyed-overloaded"),
       {Response::RejectOverloaded, Response::Succeed},
       kServed,
       2},
      {single_shot_write("once-overloaded"),
       {Response::RejectOverloaded, Response::Succeed},
       kServed,
       2},
      {read_request("error"), {Response::Fail, Response::Succeed}, kServed, 2},
      {single_shot_write("once-error"), {Response::Fail}, kFailed, 1},
      {read_request("garbage"), {Response::Garbage, Response::Succeed}, kServed, 2},
      {read_request("truncated"), {Response::Truncated, Response::Succeed}, kServed, 2},
      {read_request("oversized"), {Response::OversizedLength, Response::Succeed}, kServed, 2},
      {keyed_write("keyed-truncated"), {Response::Truncated, Response::Succeed}, kServed, 2},
      {single_shot_write("once-oversized"), {Response::OversizedLength}, kFailed, 1},
      {read_request("duplicate"), {Response::Duplicate}, kServed, 1},
      {read_request("bad-report"), {Response::MalformedReport}, kServed, 1},
      {read_request("reset"), {Response::CloseConnection, Response::Succeed}, kServed, 2},
      // No second attempt starts while the first is in flight. At its timeout the request is
      // rejected and not failed, because a read has no effect.
      {read_request("no-response", 400), {Response::NoResponse}, kRejected, 1},
      // The primary resets one connection and keeps running: the write returns to it, possibly
      // after attempts at replicas.
      {keyed_write("keyed-reset"),
       {Response::CloseConnection, Response::Succeed},
       kServed,
       kAnyAttemptCount},
      {single_shot_write("once-reset"), {Response::CloseConnection}, kFailed, 1},
  };
}

// Gets enough valid responses that a single failure does not count as overload. The outcome is then
// the same in every run.
void establish_healthy_history(TestClient& client) {
  for (int i = 0; i < 12; ++i) {
    ASSERT_EQ(client.send_and_await(read_request("r" + std::to_string(i))), ClientResult::Served);
    ASSERT_EQ(client.send_and_await(keyed_write("w" + std::to_string(i))), ClientResult::Served);
    ASSERT_EQ(client.last_value, "by m0");
  }
}

void expect_next_reads_get_own_responses(TestClient& client) {
  for (int i = 0; i < 8; ++i) {
    ASSERT_EQ(client.send_and_await(read_request("after" + std::to_string(i))),
              ClientResult::Served);
    ASSERT_EQ(client.last_value.substr(0, 4), "by m");
  }
  ASSERT_TRUE(client.responses.empty());
}

class RequestOutcomes : public GatewayIntegrationTest {};

class SessionConsistency : public GatewayIntegrationTest {
protected:
  // Gets enough valid responses that a missing one does not count as overload.
  static void establish_session(TestClient& client) {
    for (int i = 0; i < 12; ++i) {
      ASSERT_EQ(client.send_and_await(keyed_write("w" + std::to_string(i))), ClientResult::Served);
      ASSERT_EQ(client.send_and_await(session_read("s" + std::to_string(i))), ClientResult::Served);
    }
  }

  // Sends reads until a replica serves one. The gateway knows then that this replica has all writes
  // of the session so far.
  static void await_caught_up_replica(TestClient& client, const std::string& primary_value) {
    int read_count = 0;
    do {
      const std::string id = "t" + std::to_string(read_count);
      ASSERT_EQ(client.send_and_await(session_read(id)), ClientResult::Served);
      ++read_count;
    } while (client.last_value == primary_value);
  }
};

TEST_P(RequestOutcomes, DoNotDependOnProtocol) {
  for (const OutcomeCase& outcome : outcome_cases()) {
    SCOPED_TRACE("request " + outcome.request.id);
    GatewayHarness harness(protocol(), 3, 0);
    harness.start();
    const auto client = harness.connect_client();
    establish_healthy_history(*client);
    harness.script.assign(outcome.script.begin(), outcome.script.end());

    const ClientResult result = client->send_and_await(outcome.request);

    const int attempt_count = harness.attempt_count(outcome.request.id);
    ASSERT_EQ(result, outcome.result) << attempt_count << " attempts";
    if (outcome.attempt_count != kAnyAttemptCount) {
      ASSERT_EQ(attempt_count, outcome.attempt_count);
    }
    // Bytes that an endpoint sent after a response belong to no request.
    expect_next_reads_get_own_responses(*client);
    for (const auto& attempt : harness.attempts) {
      ASSERT_GT(attempt.request.timeout_ms, 0);
      ASSERT_LE(attempt.request.timeout_ms, 2500);
    }
    harness.expect_invariants_and_running();
  }
}

// The endpoint that is listed as the primary has become a replica and rejects the write.
TEST_P(RequestOutcomes, RetryWriteRejectedByListedPrimaryAtActualPrimary) {
  GatewayHarness harness(protocol(), 3, 2);
  harness.start();
  const auto client = harness.connect_client();
  const StubEndpoint& primary = *harness.endpoints[2];

  ASSERT_EQ(client->send_and_await(keyed_write("w1")), ClientResult::Served);
  ASSERT_EQ(client->last_value, "by m2");
  ASSERT_EQ(harness.attempts.back().endpoint, &primary);
  ASSERT_EQ(harness.attempts.back().request.idempotency_key, "key-w1");

  // The gateway remembers which endpoint is the primary.
  const int requests_before = primary.request_count;
  ASSERT_EQ(client->send_and_await(keyed_write("w2")), ClientResult::Served);
  ASSERT_EQ(primary.request_count, requests_before + 1);
  ASSERT_EQ(harness.attempt_count("w2"), 1);
  harness.expect_invariants_and_running();
}

// A client writes several requests at once, right after its handshake.
TEST_P(RequestOutcomes, GiveOneResponsePerPipelinedRequest) {
  GatewayHarness harness(protocol(), 2, 0);
  harness.start();
  const auto client = harness.connect_client();
  for (int i = 0; i < 10; ++i)
    client->send_request(read_request("p" + std::to_string(i)));
  for (int i = 0; i < 10; ++i)
    ASSERT_EQ(client->await_response(), ClientResult::Served);
  ASSERT_TRUE(client->responses.empty());
  harness.expect_invariants_and_running();
}

// While a session's write is in flight, and after it ended without a response, its endpoint may
// have executed it. The gateway sends the session's reads where the write would be visible, not to
// a lagging replica, although no response has confirmed the write.
TEST_P(SessionConsistency, SendsReadsToPrimaryWhileWriteMayHaveRun) {
  GatewayHarness harness(protocol(), 3, 0);
  harness.start();
  const auto client = harness.connect_client();
  const auto writer = harness.connect_client();
  establish_session(*client);
  await_caught_up_replica(*client, "by m0");
  // From now on the replicas report that they lag, as if they got no further writes.
  harness.endpoints[1]->replication.lag_ms = 60'000;
  harness.endpoints[2]->replication.lag_ms = 60'000;
  harness.script = {ScriptedResponse::NoResponse};
  Request write = single_shot_write("in-flight", 700);
  write.idempotency_key = "key-in-flight";
  writer->send_request(write);
  harness.await_first_attempt("in-flight");
  // Enough time for a response to the write to reach the gateway, if an endpoint had sent one.
  run_main_loop_for(std::chrono::milliseconds(120));

  ASSERT_EQ(client->send_and_await(session_read("meanwhile")), ClientResult::Served);
  ASSERT_EQ(client->last_value, "by m0");
  ASSERT_EQ(writer->await_response(), ClientResult::Failed);
  ASSERT_EQ(client->send_and_await(session_read("after")), ClientResult::Served);
  ASSERT_EQ(client->last_value, "by m0");
  harness.expect_invariants_and_running();
}

/// A deployment whose session reads carry their token, with replicas that lag by a minute.
class CarriedSessionToken : public GatewayIntegrationTest {
protected:
  CarriedSessionToken() {
    harness_.endpoints[1]->replication.lag_ms = 60'000;
    harness_.endpoints[2]->replication.lag_ms = 60'000;
    PlatformSettings settings;
    settings.token_mode = "brought";
    harness_.set_platform_settings(settings);
    harness_.start();
    client_ = harness_.connect_client();
    expect_reads_served(*client_, "warm", 12);
  }

  GatewayHarness harness_{protocol(), 3, 0};
  std::unique_ptr<TestClient> client_;
};

// Guards against stale session reads: a read whose token was not over yet at the gateway's clock
// was taken for one of a session without a write, and was sent to any replica.
TEST_P(CarriedSessionToken, AheadOfTheGatewaysClockConstrainsTheRead) {
  for (const int ahead_ms : {0, 1, 5, 1000, 3'600'000}) {
    for (int session = 0; session < 4; ++session) {
      const std::string number = std::to_string(ahead_ms) + "-" + std::to_string(session);
      Request read = session_read("r" + number);
      read.statement = "SELECT data FROM facts WHERE code = 'k";
      read.statement.append(number).append("' /* after=");
      read.statement.append(std::to_string(unix_ms_now() + ahead_ms)).append(" */");
      ASSERT_EQ(client_->send_and_await(read), ClientResult::Served) << number;
      ASSERT_EQ(client_->last_value, "by m0") << number;
    }
  }
  harness_.expect_invariants_and_running();
}

class UncarriedSessionToken : public CarriedSessionToken {};

// Where no command can carry the token, a session's read must not be taken for one without a write.
TEST_P(UncarriedSessionToken, SessionReadSeesWhatWasCommittedBeforeIt) {
  for (int i = 0; i < 8; ++i) {
    ASSERT_EQ(client_->send_and_await(session_read("r" + std::to_string(i))), ClientResult::Served);
    ASSERT_EQ(client_->last_value, "by m0") << i;
  }
  harness_.expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, CarriedSessionToken, postgres_only(), protocol_name);
INSTANTIATE_TEST_SUITE_P(, UncarriedSessionToken, mongo_only(), protocol_name);
INSTANTIATE_TEST_SUITE_P(, RequestOutcomes, both_protocols(), protocol_name);
INSTANTIATE_TEST_SUITE_P(, SessionConsistency, both_protocols(), protocol_name);

}  // namespace
