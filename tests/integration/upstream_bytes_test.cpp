// Bytes from an endpoint that belong to no response, or to a response that is too long.
#include "gateway_integration_test.h"

using namespace test_harness;

namespace {

class UpstreamBytes : public GatewayIntegrationTest {};

// A complete message or half a message arrives on an idle connection before the next request.
TEST_P(UpstreamBytes, DiscardsUnsolicitedBytes) {
  const std::string message = protocol().encode_unsolicited_message();
  for (const std::string& bytes : {message, message.substr(0, message.size() / 2)}) {
    SCOPED_TRACE(bytes == message ? "a complete message" : "half a message");
    WarmGateway warm(protocol(), 2, 12);
    for (int round = 0; round < 5; ++round) {
      // The unsolicited bytes and the request arrive while the program is frozen.
      warm.harness.gateway.freeze();
      for (const auto& endpoint : warm.harness.endpoints)
        endpoint->send_unsolicited(bytes);
      const std::string id = "b" + std::to_string(round);
      // A single-shot write would fail if the gateway wrote it to a connection that it then has to
      // close.
      warm.client->send_request(round % 2 == 1 ? read_request(id) : single_shot_write(id));
      warm.client->await_flushed();
      warm.harness.gateway.resume();
      ASSERT_EQ(warm.client->await_response(), ClientResult::Served) << "round " << round;
      ASSERT_EQ(warm.client->last_value.substr(0, 4), "by m") << "round " << round;
    }
    warm.harness.expect_invariants_and_running();
  }
}

TEST_P(UpstreamBytes, EndsAttemptWithUnboundedResponse) {
  WarmGateway warm(protocol(), 2, 12);
  warm.harness.script = {ScriptedResponse::UnboundedResponse};
  ASSERT_EQ(warm.client->send_and_await(read_request("unbounded")), ClientResult::Served);
  ASSERT_EQ(warm.client->last_value.substr(0, 4), "by m");
  ASSERT_EQ(warm.harness.attempt_count("unbounded"), 2);
  warm.harness.script = {ScriptedResponse::UnboundedResponse};
  ASSERT_EQ(warm.client->send_and_await(single_shot_write("once")), ClientResult::Failed);
  expect_reads_served(*warm.client, "b", 8);
  warm.harness.expect_invariants_and_running();
}

// Guards against the answer to another request: an endpoint's second copy of a response that
// arrives after the next request was written was served as the response to that request.
TEST_P(UpstreamBytes, ServesNoSecondCopyOfThePreviousResponse) {
  WarmGateway warm(protocol(), 2, 12);
  for (int round = 1; round <= 5; ++round) {
    // The length of the value tells which request it belongs to.
    const std::size_t value_bytes = 100 + static_cast<std::size_t>(round);
    warm.harness.set_min_value_bytes(value_bytes);
    warm.harness.script = {ScriptedResponse::RepeatPrevious};
    const std::string id = "c" + std::to_string(round);
    ASSERT_EQ(warm.client->send_and_await(read_request(id)), ClientResult::Served);
    ASSERT_EQ(warm.client->last_value.size(), value_bytes) << "round " << round;
  }
  warm.harness.expect_invariants_and_running();
}

class PostgresUpstreamBytes : public GatewayIntegrationTest {};

// As above, for a request that must not be retried: it is confirmed by its own response.
TEST_P(PostgresUpstreamBytes, FindsResponseToWriteBehindSecondCopy) {
  WarmGateway warm(protocol(), 1, 4);
  warm.harness.set_min_value_bytes(100);
  ASSERT_EQ(warm.client->send_and_await(single_shot_write("first")), ClientResult::Served);
  warm.harness.set_min_value_bytes(200);
  warm.harness.script = {ScriptedResponse::RepeatPrevious};
  ASSERT_EQ(warm.client->send_and_await(single_shot_write("second")), ClientResult::Served);
  ASSERT_EQ(warm.client->last_value.size(), 200U);
  ASSERT_EQ(warm.harness.attempt_count("second"), 1);
  warm.harness.expect_invariants_and_running();
}

// Equal responses to consecutive requests are ordinary, and cost neither a retry nor a connection.
TEST_P(PostgresUpstreamBytes, KeepsConnectionOverEqualResponses) {
  WarmGateway warm(protocol(), 1, 4);
  const int connections = warm.harness.endpoints.front()->accepted_connection_count();
  for (int i = 0; i < 10; ++i) {
    const std::string id = "equal" + std::to_string(i);
    ASSERT_EQ(warm.client->send_and_await(single_shot_write(id)), ClientResult::Served);
    ASSERT_EQ(warm.harness.attempt_count(id), 1);
  }
  ASSERT_EQ(warm.harness.endpoints.front()->accepted_connection_count(), connections);
  warm.harness.expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, PostgresUpstreamBytes, postgres_only(), protocol_name);
INSTANTIATE_TEST_SUITE_P(, UpstreamBytes, both_protocols(), protocol_name);

}  // namespace
