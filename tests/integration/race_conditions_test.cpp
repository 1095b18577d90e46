// Events between the start and the end of the gateway's handshake with an endpoint. The stub
// endpoint pauses the handshake until the event has happened.
#include "gateway_integration_test.h"

using namespace test_harness;

namespace {

class RaceConditions : public GatewayIntegrationTest {};

// A request's connection opens only after its endpoint was listed as draining: the gateway writes
// nothing to it. A read goes to another endpoint; a write, for which there is no other primary, is
// rejected without an attempt.
TEST_P(RaceConditions, DoesNotWriteToEndpointDrainedDuringConnect) {
  for (const bool is_write : {false, true}) {
    SCOPED_TRACE(is_write ? "a write" : "a read");
    WarmGateway warm(protocol(), 3, 12, long_connect_timeout());
    warm.harness.pause_handshakes();
    warm.client->send_request(is_write ? keyed_write("late") : read_request("late"));
    StubEndpoint& draining = warm.harness.await_paused_handshake();
    draining.listed_status = ListedStatus::Draining;
    warm.harness.publish_inventory();
    const int requests_before = draining.request_count;

    warm.harness.resume_handshakes();

    ASSERT_EQ(warm.client->await_response(),
              is_write ? ClientResult::Rejected : ClientResult::Served);
    ASSERT_EQ(draining.request_count, requests_before);
    if (!is_write) {
      ASSERT_EQ(warm.harness.attempt_count("late"), 1);
    }
    warm.harness.expect_invariants_and_running();
  }
}

// Guards against a spoilt command: a reload lowered the message limit under a pending request,
// which could not be read again, and a command without its content was sent in its place.
TEST_P(RaceConditions, SendsRequestWholeAfterItsMessageLimitWasLowered) {
  WarmGateway warm(protocol(), 1, 4, long_connect_timeout());
  warm.harness.pause_handshakes();
  Request write = keyed_write("large");
  write.idempotency_key.resize(100 * 1024, 'k');
  warm.client->send_request(write);
  ASSERT_EQ(&warm.harness.await_paused_handshake(), warm.harness.endpoints.front().get());
  warm.harness.write_operator_file("limits { message_kib: 64 }");
  warm.harness.publish_inventory();

  warm.harness.resume_handshakes();

  ASSERT_EQ(warm.client->await_response(), ClientResult::Served);
  ASSERT_EQ(warm.harness.attempts.back().request.idempotency_key, write.idempotency_key);
  warm.harness.expect_invariants_and_running();
}

TEST_P(RaceConditions, DoesNotRetryOnEndpointDrainedDuringConnect) {
  WarmGateway warm(protocol(), 4, 12, long_connect_timeout());
  warm.harness.pause_handshakes();
  warm.client->send_request(read_request("again"));
  StubEndpoint& first = warm.harness.await_paused_handshake();
  first.resume_handshakes();
  warm.harness.script = {ScriptedResponse::CloseConnection};
  warm.harness.await_first_attempt("again");
  StubEndpoint& second = warm.harness.await_paused_handshake();
  ASSERT_NE(&second, &first);
  second.listed_status = ListedStatus::Draining;
  warm.harness.publish_inventory();
  const int requests_before = second.request_count;

  warm.harness.resume_handshakes();

  ASSERT_EQ(warm.client->await_response(), ClientResult::Served);
  ASSERT_EQ(second.request_count, requests_before);
  ASSERT_EQ(warm.harness.attempt_count("again"), 2);
  warm.harness.expect_invariants_and_running();
}

TEST_P(RaceConditions, DoesNotHealthCheckEndpointDrainedDuringConnect) {
  GatewayHarness harness(protocol(), 3, 0);
  harness.set_platform_settings(long_connect_timeout());
  for (const auto& endpoint : harness.endpoints)
    endpoint->pauses_handshakes = true;
  harness.start();  // the gateway opens a connection to each endpoint for a health check
  for (const auto& endpoint : harness.endpoints)
    wait_until(
        [&] {
          return endpoint->paused_handshake_count() == 1;
        },
        "the first health check's connection to " + endpoint->name);
  const StubEndpoint& draining = *harness.endpoints[1];
  harness.endpoints[1]->listed_status = ListedStatus::Draining;
  harness.publish_inventory();

  harness.resume_handshakes();

  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 12);
  wait_until(
      [&] {
        return harness.endpoints[0]->health_check_count > 0 &&
               harness.endpoints[2]->health_check_count > 0;
      },
      "the health checks of the other endpoints");
  ASSERT_EQ(draining.health_check_count, 0);
  ASSERT_EQ(draining.request_count, 0);
  harness.expect_invariants_and_running();
}

// The request has received its one response when its connection opens. The connection serves later
// requests, or is closed.
TEST_P(RaceConditions, DoesNotWriteRequestThatEndedDuringConnect) {
  WarmGateway warm(protocol(), 2, 8, long_connect_timeout());
  warm.harness.pause_handshakes();
  warm.client->send_request(read_request("over", 300));
  static_cast<void>(warm.harness.await_paused_handshake());
  ASSERT_EQ(warm.client->await_response(), ClientResult::Rejected);

  warm.harness.resume_handshakes();

  expect_reads_served(*warm.client, "b", 12);
  ASSERT_EQ(warm.harness.attempt_count("over"), 0);
  warm.harness.expect_invariants_and_running();
}

// A write that may have run waits for a retry, whose connection opens only after the deduplication
// window of the write's group. The gateway does not send the write again, and its client gets an
// error at that time, not at the deadline.
TEST_P(RaceConditions, DoesNotRetryKeyedWriteAfterDeduplicationWindow) {
  PlatformSettings settings = long_connect_timeout();
  settings.deduplication_window_ms = 150;
  // Longer than any wait of these tests: a response at the deadline would come too late.
  settings.latency_objective_ms = 60'000;
  WarmGateway warm(protocol(), 2, 0, settings);
  for (int i = 0; i < 12; ++i)
    ASSERT_EQ(warm.client->send_and_await(keyed_write("w" + std::to_string(i))),
              ClientResult::Served);
  warm.harness.script = {ScriptedResponse::NoResponse};
  Request write = keyed_write("keyed");
  write.timeout_ms = 60'000;
  warm.client->send_request(write);
  warm.harness.await_first_attempt("keyed");
  // The attempt ends as its connection is closed; the retry's connection opens when its handshake
  // resumes.
  warm.harness.pause_handshakes();
  static_cast<void>(warm.harness.await_paused_handshake());
  run_main_loop_for(2 * std::chrono::milliseconds(settings.deduplication_window_ms));

  warm.harness.resume_handshakes();

  ASSERT_EQ(warm.client->await_response(), ClientResult::Failed);
  ASSERT_EQ(warm.harness.attempt_count("keyed"), 1);
  warm.harness.expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, RaceConditions, both_protocols(), protocol_name);

}  // namespace
