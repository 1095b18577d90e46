// Input that arrives while the gateway's event loop is stalled, by SIGSTOP or by a slow iteration,
// waits in the kernel. The gateway acts by the order and the times of arrival, not by the order in
// which it reads.
#include "gateway_integration_test.h"

#include <chrono>
#include <string>

using namespace test_harness;

namespace {

using std::chrono::milliseconds;

// How long the gateway is frozen. Each is longer than a time limit of the gateway, which elapses
// meanwhile.
constexpr milliseconds kBeyondDrainGrace{350};        // the limit is 250 ms, with 50 ms of slack
constexpr milliseconds kBeyondMessageDelay{2600};     // the limit is 2 s
constexpr milliseconds kBeyondConnectTimeout{1600};   // the test sets 1.5 s
constexpr milliseconds kBeyondRequestDeadline{2600};  // keyed_write() sets 2.5 s
constexpr milliseconds kBeyondKeepalive{2200};        // the test sets 2 s

constexpr milliseconds kStallDuration{1000};  // below the timeout of the request

class EventLoopStall : public GatewayIntegrationTest {};

// When the gateway runs again, the connect timeout is due, but the handshake reply has arrived.
TEST_P(EventLoopStall, KeepsConnectionThatOpenedBeforeTimeout) {
  PlatformSettings settings;
  settings.connect_timeout_ms = 1500;
  WarmGateway warm(protocol(), 2, 8, settings);
  warm.harness.pause_handshakes();
  warm.client->send_request(read_request("opened", 6000));
  static_cast<void>(warm.harness.await_paused_handshake());
  warm.harness.gateway.freeze();
  warm.harness.resume_handshakes();
  run_main_loop_for(kBeyondConnectTimeout);

  warm.harness.gateway.resume();

  ASSERT_EQ(warm.client->await_response(), ClientResult::Served);
  ASSERT_EQ(warm.harness.attempt_count("opened"), 1);
  ASSERT_FALSE(warm.harness.gateway.has_logged("status=connect_failed"));
  warm.harness.expect_invariants_and_running();
}

// When the gateway runs again, the attempt's timeout and the request's deadline are due, but the
// response has arrived.
TEST_P(EventLoopStall, DeliversResponseThatArrivedBeforeDeadline) {
  WarmGateway warm(protocol(), 2, 8);
  warm.harness.script = {ScriptedResponse::NoResponse};
  warm.client->send_request(keyed_write("answered"));
  warm.harness.await_first_attempt("answered");
  warm.harness.gateway.freeze();
  warm.harness.attempts.back().endpoint->respond_to_open_attempts();
  run_main_loop_for(kBeyondRequestDeadline);

  warm.harness.gateway.resume();

  ASSERT_EQ(warm.client->await_response(), ClientResult::Served);
  ASSERT_EQ(warm.harness.attempt_count("answered"), 1);
  warm.harness.expect_invariants_and_running();
}

// The gateway reads a request long after it arrived. It forwards the client's timeout less the time
// that the client has waited.
TEST_P(EventLoopStall, ForwardsNoMoreThanRemainingClientTime) {
  constexpr int kTimeoutMs = 2000;
  constexpr int kSlackMs = 150;
  WarmGateway warm(protocol(), 2, 8);
  warm.harness.gateway.freeze();
  warm.client->send_request(read_request("late", kTimeoutMs));
  warm.client->await_flushed();
  run_main_loop_for(kStallDuration);

  warm.harness.gateway.resume();

  ASSERT_EQ(warm.client->await_response(), ClientResult::Served);
  ASSERT_EQ(warm.harness.attempts.back().request.id, "late");
  ASSERT_LE(warm.harness.attempts.back().request.timeout_ms,
            kTimeoutMs - kStallDuration.count() + kSlackMs);
  warm.harness.expect_invariants_and_running();
}

// More messages than the gateway handles in two iterations of its event loop arrive while it is
// frozen. The last one is the request.
TEST_P(EventLoopStall, ForwardsNoMoreThanRemainingClientTimeBehindManyMessages) {
  constexpr int kTimeoutMs = 2000;
  constexpr int kSlackMs = 150;
  constexpr int kMessagesBefore = 100;
  WarmGateway warm(protocol(), 2, 8);
  warm.harness.gateway.freeze();
  for (int i = 0; i < kMessagesBefore; ++i)
    warm.client->send_request(unknown_class_request("before" + std::to_string(i)));
  warm.client->send_request(read_request("last", kTimeoutMs));
  warm.client->await_flushed();
  run_main_loop_for(kStallDuration);

  warm.harness.gateway.resume();

  for (int i = 0; i < kMessagesBefore; ++i)
    ASSERT_EQ(warm.client->await_response(), ClientResult::Failed);
  ASSERT_EQ(warm.client->await_response(), ClientResult::Served);
  ASSERT_EQ(warm.harness.attempts.back().request.id, "last");
  ASSERT_LE(warm.harness.attempts.back().request.timeout_ms,
            kTimeoutMs - kStallDuration.count() + kSlackMs);
  warm.harness.expect_invariants_and_running();
}

// When the gateway runs again, the timeout for incomplete messages is due, but the rest of the
// message has arrived in time.
TEST_P(EventLoopStall, ServesMessageThatWasCompletedBeforeTimeout) {
  WarmGateway warm(protocol(), 2, 8);
  const std::string message = protocol().encode_request(read_request("halves", 6000));
  warm.client->write(message.substr(0, message.size() / 2));
  const auto other = warm.harness.connect_client();
  await_gateway_loop_iterations(*other, "iteration");
  warm.harness.gateway.freeze();
  warm.harness.sent_requests["halves"] = 1;
  warm.client->write(message.substr(message.size() / 2));
  warm.client->await_flushed();
  run_main_loop_for(kBeyondMessageDelay);

  warm.harness.gateway.resume();

  ASSERT_EQ(warm.client->await_response(), ClientResult::Served);
  warm.harness.expect_invariants_and_running();
}

// When the gateway runs again, the client has disconnected and the first attempt of its request has
// ended. The attempt's connection is older than the client's.
TEST_P(EventLoopStall, DoesNotRetryForDisconnectedClient) {
  WarmGateway warm(protocol(), 3, 24);
  const auto disconnecting = warm.harness.connect_client();
  warm.harness.script = {ScriptedResponse::NoResponse};
  disconnecting->send_request(read_request("abandoned"));
  warm.harness.await_first_attempt("abandoned");
  StubEndpoint& first = *warm.harness.attempts.back().endpoint;
  warm.harness.gateway.freeze();
  disconnecting->close();
  first.close_connections();
  run_main_loop_for(kBeyondDrainGrace);

  warm.harness.gateway.resume();

  expect_reads_served(*warm.client, "b", 8);
  ASSERT_EQ(warm.harness.attempt_count("abandoned"), 1);
  ASSERT_TRUE(warm.harness.gateway.is_running());
}

// While the gateway is frozen, the former primary responds that it is a replica, and after that a
// write arrives on a client connection that is older than the endpoint's.
TEST_P(EventLoopStall, ReadsResponsesBeforeLaterRequests) {
  GatewayHarness harness(protocol(), 2, 0);
  harness.start();
  const auto later = harness.connect_client();
  const auto client = harness.connect_client();
  ASSERT_EQ(client->send_and_await(keyed_write("warm")), ClientResult::Served);
  for (const auto& endpoint : harness.endpoints)
    endpoint->close_connections();
  ASSERT_EQ(client->send_and_await(keyed_write("reopen")), ClientResult::Served);
  StubEndpoint& former_primary = *harness.endpoints[0];
  harness.script = {ScriptedResponse::NoResponse};
  client->send_request(keyed_write("first"));
  harness.await_first_attempt("first");
  harness.gateway.freeze();
  former_primary.replication.is_primary = false;
  harness.endpoints[1]->replication.is_primary = true;
  former_primary.respond_to_open_attempts(ScriptedResponse::RejectNotPrimary);
  later->send_request(keyed_write("later"));
  later->await_flushed();
  run_main_loop_for(kBeyondDrainGrace);
  const int requests_before = former_primary.request_count;

  harness.gateway.resume();

  ASSERT_EQ(client->await_response(), ClientResult::Served);
  ASSERT_EQ(later->await_response(), ClientResult::Served);
  ASSERT_EQ(former_primary.request_count, requests_before);
  harness.expect_invariants_and_running();
}

// When the gateway runs again, a connection has been idle for longer than its endpoint keeps it
// open, and its idle timeout is due.
TEST_P(EventLoopStall, DoesNotReuseConnectionIdleBeyondKeepalive) {
  PlatformSettings settings;
  settings.keepalive_ms = 2000;
  WarmGateway warm(protocol(), 2, 8, settings);
  for (const auto& endpoint : warm.harness.endpoints)
    endpoint->idle_close_ms = settings.keepalive_ms;
  warm.harness.gateway.freeze();
  warm.client->send_request(keyed_write("after-idle"));
  warm.client->await_flushed();
  run_main_loop_for(kBeyondKeepalive);

  warm.harness.gateway.resume();

  ASSERT_EQ(warm.client->await_response(), ClientResult::Served);
  for (const auto& endpoint : warm.harness.endpoints)
    ASSERT_EQ(endpoint->idle_close_count, 0) << endpoint->name;
  warm.harness.expect_invariants_and_running();
}

// The pipe of the log is full, because the test does not read it. Writing to the log does not block
// the gateway, which keeps serving requests.
TEST_P(EventLoopStall, IsNotCausedByFullLogPipe) {
  constexpr int kFailures = 40;             // each logs a line of about 190 bytes
  constexpr int kReadsBetweenFailures = 9;  // so that no endpoint is ejected for its errors
  constexpr milliseconds kInterval{200};    // at most five lines of one event are written a second
  WarmGateway warm(protocol(), 3, 24);
  warm.harness.gateway.read_log();
  warm.harness.gateway.shrink_log_pipe();
  for (int i = 0; i < kFailures; ++i) {
    expect_reads_served(*warm.client, "between" + std::to_string(i) + "-", kReadsBetweenFailures);
    warm.harness.script = {ScriptedResponse::Fail};
    const std::string id = "failing" + std::to_string(i) + "-" + std::string(100, 'x');
    ASSERT_EQ(warm.client->send_and_await(read_request(id)), ClientResult::Served);
    run_main_loop_for(kInterval);
  }
  warm.harness.expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, EventLoopStall, both_protocols(), protocol_name);

}  // namespace
