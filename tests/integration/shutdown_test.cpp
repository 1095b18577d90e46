// Graceful shutdown after SIGTERM.
#include "gateway_integration_test.h"

#include <csignal>

using namespace test_harness;

namespace {

class Shutdown : public GatewayIntegrationTest {};

// The program accepts new connections for a while, completes the requests in flight, and exits.
TEST_P(Shutdown, ServesLateClientsAndCompletesRequestsInFlightBeforeExit) {
  GatewayHarness harness(protocol(), 2, 0);
  harness.start();
  const auto client = harness.connect_client();
  ASSERT_EQ(client->send_and_await(read_request("before")), ClientResult::Served);
  harness.script = {ScriptedResponse::NoResponse};
  client->send_request(read_request("in-flight", 1200));
  harness.await_first_attempt("in-flight");
  harness.gateway.send_signal(SIGTERM);
  run_main_loop_for(std::chrono::milliseconds(200));

  const auto late = harness.connect_client();
  ASSERT_EQ(late->send_and_await(read_request("late")), ClientResult::Served);
  ASSERT_EQ(client->await_response(), ClientResult::Rejected);
  // The program must have one thread: the platform runs one at a time, so a second thread could
  // hold a lock that the first one waits for.
  ASSERT_EQ(harness.gateway.thread_count(), 1U);
  ASSERT_EQ(harness.gateway.await_exit_code(), 0);
  ASSERT_TRUE(late->responses.empty());
  ASSERT_TRUE(client->responses.empty());
  harness.expect_invariants();
}

// Once the listener is closed, the gateway rejects a new request on a connection that stays open
// for a request in flight. Neither a second SIGTERM nor SIGHUP reopens the listener.
TEST_P(Shutdown, RejectsNewRequestsAfterListenerCloses) {
  GatewayHarness harness(protocol(), 2, 0);
  harness.start();
  const auto client = harness.connect_client();
  const auto idle = harness.connect_client();
  ASSERT_EQ(client->send_and_await(read_request("before")), ClientResult::Served);
  ASSERT_EQ(idle->send_and_await(read_request("then-idle")), ClientResult::Served);
  harness.script = {ScriptedResponse::NoResponse};
  client->send_request(read_request("in-flight", 2500));
  harness.await_first_attempt("in-flight");
  harness.gateway.send_signal(SIGTERM);
  idle->await_close("the listener and the connections of idle clients to be closed");
  ASSERT_EQ(idle->close_reason, "closed by the peer");

  harness.gateway.send_signal(SIGTERM);
  harness.gateway.send_signal(SIGHUP);
  harness.gateway.await_log("reload_rejected error=\"this gateway is stopping\"");
  const auto refused = harness.connect_silent_client();
  refused->await_close("a new connection to be refused");
  client->send_request(read_request("late"));

  ASSERT_EQ(client->await_response(), ClientResult::Rejected);
  ASSERT_EQ(client->await_response(), ClientResult::Rejected);
  ASSERT_EQ(harness.attempt_count("late"), 0);
  ASSERT_EQ(harness.gateway.await_exit_code(), 0);
  ASSERT_EQ(client->close_reason, "closed by the peer");
  harness.expect_invariants();
}

// A request may be rejected while the listener closes, but then it must have had no attempt.
void expect_served_or_not_attempted(const GatewayHarness& harness, TestClient& client,
                                    const std::string& id) {
  const ClientResult result = client.await_response();
  ASSERT_NE(result, ClientResult::Failed) << id;
  if (result == ClientResult::Rejected) {
    ASSERT_EQ(harness.attempt_count(id), 0) << id;
  }
}

enum class RaceOutcome { RequestsArrivedFirst, ListenerClosedFirst };

// Runs one round of the race between the closing listener and requests that have already arrived in
// the kernel. On a busy machine the listener may close before they arrive.
RaceOutcome race_requests_with_closing_listener(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  harness.start();
  const auto idle = harness.connect_client();
  const auto silent = harness.connect_client();
  expect_reads_served(*idle, "a", 4);
  expect_reads_served(*silent, "b", 1);
  harness.gateway.send_signal(SIGTERM);
  harness.gateway.await_log("shutdown_started");
  harness.gateway.freeze();
  run_main_loop_for(std::chrono::milliseconds(600));  // the listener is due to close
  idle->send_request(read_request("idle"));
  const auto fresh = harness.connect_client();
  fresh->send_request(read_request("fresh"));
  idle->await_flushed();
  fresh->await_flushed();
  const bool arrived_first = !idle->closed_by_gateway && !fresh->closed_by_gateway;

  harness.gateway.resume();

  if (arrived_first) {
    expect_served_or_not_attempted(harness, *idle, "idle");
    expect_served_or_not_attempted(harness, *fresh, "fresh");
  }
  const int exit_code = harness.gateway.await_exit_code();
  require(exit_code == 0, "the program exited with status " + std::to_string(exit_code));
  require(silent->close_reason == "closed by the peer",
          "the silent client's connection ended with: " + silent->close_reason);
  if (!arrived_first)
    return RaceOutcome::ListenerClosedFirst;
  harness.expect_invariants();
  return RaceOutcome::RequestsArrivedFirst;
}

TEST_P(Shutdown, RespondsToRequestsThatArriveAsListenerCloses) {
  constexpr int kMaxRounds = 20;
  int round = 0;
  while (race_requests_with_closing_listener(protocol()) == RaceOutcome::ListenerClosedFirst) {
    ++round;
    ASSERT_LT(round, kMaxRounds) << "the listener closed first in each round";
  }
}

// Awaits `request_count` responses: some served, then the others rejected.
void expect_served_then_rejected(TestClient& client, int request_count) {
  int served_count = 0;
  int rejected_count = 0;
  for (int i = 0; i < request_count; ++i) {
    const ClientResult result = client.await_response();
    if (result == ClientResult::Served) {
      ASSERT_EQ(rejected_count, 0) << "request " << i << " is served after a rejected one";
      ++served_count;
    } else {
      ASSERT_EQ(result, ClientResult::Rejected) << "request " << i;
      ++rejected_count;
    }
  }
  ASSERT_GT(served_count, 0);
  ASSERT_GT(rejected_count, 0);
}

// SIGTERM arrives while responses are partly written, because their client does not read. The
// program waits for the client and rejects those of its requests that have not started. When it has
// exited, a new process can listen at the same address at once.
TEST_P(Shutdown, WaitsForSlowReaderAndFreesListenAddress) {
  constexpr int kRequestCount = 160;  // far more responses than the kernel buffers
  GatewayHarness harness(protocol(), 2, 0);
  harness.start();
  PlatformSettings settings;
  settings.listen_address = harness.address();
  const auto slow = harness.connect_client();
  const auto idle = harness.connect_client();
  expect_reads_served(*idle, "a", 4);
  harness.set_min_value_bytes(60'000);
  slow->pause_reading();
  for (int i = 0; i < kRequestCount; ++i)
    slow->send_request(read_request("slow" + std::to_string(i)));
  harness.await_first_attempt("slow0");
  harness.gateway.send_signal(SIGTERM);
  idle->await_close("the listener and the connections of idle clients to be closed");
  ASSERT_EQ(harness.attempt_count("slow" + std::to_string(kRequestCount - 1)), 0);
  ASSERT_TRUE(harness.gateway.is_running());

  slow->resume_reading();
  expect_served_then_rejected(*slow, kRequestCount);
  ASSERT_EQ(harness.gateway.await_exit_code(), 0);
  ASSERT_EQ(slow->close_reason, "closed by the peer");
  harness.set_min_value_bytes(0);
  if (!is_mongo()) {  // MongoDB's listener gets a new port at each start
    harness.set_platform_settings(settings);
    harness.start();
    ASSERT_EQ(harness.address(), settings.listen_address);
    expect_reads_served(*harness.connect_client(), "again", 8);
  }
  harness.expect_invariants();
}

INSTANTIATE_TEST_SUITE_P(, Shutdown, both_protocols(), protocol_name);

}  // namespace
