// Clients that disconnect while their requests wait for a connection to an endpoint, or for an
// endpoint that may be used.
#include "gateway_integration_test.h"

using namespace test_harness;

namespace {

enum class DisconnectKind { Close, ShutDownWriting };

class ClientDisconnects : public GatewayIntegrationTest {
protected:
  // Encodes one read, and further reads until all have at least `min_bytes` bytes.
  [[nodiscard]] static std::string encode_requests(std::size_t min_bytes) {
    std::string bytes = protocol().encode_request(read_request("abandoned-0"));
    for (int i = 1; bytes.size() < min_bytes; ++i)
      bytes += protocol().encode_request(read_request("abandoned-" + std::to_string(i)));
    return bytes;
  }

  static void expect_drops_waiting_requests(std::size_t min_bytes, DisconnectKind kind) {
    WarmGateway warm(protocol(), 2, 8, long_connect_timeout());
    warm.harness.pause_handshakes();
    const auto disconnecting = warm.harness.connect_client();
    disconnecting->write(encode_requests(min_bytes));
    static_cast<void>(warm.harness.await_paused_handshake());
    disconnecting->await_flushed();

    if (kind == DisconnectKind::ShutDownWriting) {
      disconnecting->shut_down_writing();
      disconnecting->await_close("the gateway to close its side of the connection");
    } else {
      disconnecting->close();
      await_gateway_loop_iterations(*warm.client, "u");
    }

    warm.harness.resume_handshakes();
    expect_reads_served(*warm.client, "b", 12);
    ASSERT_EQ(warm.harness.attempt_count_with_prefix("abandoned-"), 0);
    ASSERT_TRUE(disconnecting->responses.empty());
    warm.harness.expect_invariants_and_running();
  }

  // Connects 60 clients that send one request each. For every tenth the request is cut in half, and
  // for another tenth 100,000 further bytes follow it.
  [[nodiscard]] static std::vector<std::unique_ptr<TestClient>>
  connect_burst(GatewayHarness& harness, int round) {
    std::vector<std::unique_ptr<TestClient>> clients;
    for (int i = 0; i < 60; ++i) {
      const std::string id = "abandoned-" + std::to_string(round * 1000 + i);
      std::string bytes = protocol().encode_request(read_request(id));
      if (i % 10 == 1)
        bytes.resize(bytes.size() / 2);
      if (i % 10 == 2)
        bytes.append(100'000, 'x');
      clients.push_back(harness.connect_client());
      clients.back()->write(bytes);
    }
    return clients;
  }
};

// The gateway detects the disconnect at once and sends none of the client's requests, whichever way
// the client disconnects and however many bytes follow its first request.
TEST_P(ClientDisconnects, DropsRequestThatWaitsForConnection) {
  for (const std::size_t min_bytes : {0, 20'000, 300'000}) {
    for (const DisconnectKind kind : {DisconnectKind::Close, DisconnectKind::ShutDownWriting}) {
      SCOPED_TRACE(std::to_string(min_bytes) + " bytes, " +
                   (kind == DisconnectKind::Close ? "closed" : "writing shut down"));
      expect_drops_waiting_requests(min_bytes, kind);
    }
  }
}

// A client disconnects while its request waits for its first attempt, or for a retry, because all
// endpoints drain. The gateway does not send the request when they are up again.
TEST_P(ClientDisconnects, DropsRequestThatWaitsForEndpoint) {
  for (const bool was_attempted : {false, true}) {
    SCOPED_TRACE(was_attempted ? "before a retry" : "before the first attempt");
    WarmGateway warm(protocol(), 2, 8);
    GatewayHarness& harness = warm.harness;
    const auto disconnecting = harness.connect_client();
    if (was_attempted) {
      harness.script = {ScriptedResponse::NoResponse};
      disconnecting->send_request(read_request("abandoned-0"));
      harness.await_first_attempt("abandoned-0");
    }
    harness.set_listed_status(ListedStatus::Draining);
    harness.publish_inventory();
    if (was_attempted)
      for (const auto& endpoint : harness.endpoints)
        endpoint->close_connections();
    else
      disconnecting->send_request(read_request("abandoned-0"));
    await_gateway_loop_iterations(*warm.client, "u");
    ASSERT_TRUE(disconnecting->responses.empty());

    disconnecting->close();
    await_gateway_loop_iterations(*warm.client, "v");

    harness.set_listed_status(ListedStatus::Up);
    harness.publish_inventory();
    expect_reads_served(*warm.client, "b", 12);
    ASSERT_EQ(harness.attempt_count("abandoned-0"), was_attempted ? 1 : 0);
    harness.sent_requests.erase("abandoned-0");
    if (was_attempted)
      harness.sent_requests["abandoned-0"] = 0;  // a client sent it, and it gets no response
    harness.expect_invariants_and_running();
  }
}

// Many clients disconnect at once while their requests wait. The gateway sends none of the
// requests, and clients that connect later are served.
TEST_P(ClientDisconnects, DropsRequestsOfBurstAndFreesCapacity) {
  WarmGateway warm(protocol(), 2, 8, long_connect_timeout());
  GatewayHarness& harness = warm.harness;
  // The 240 clients of all rounds are more than may be connected at the same time.
  for (int round = 0; round < 4; ++round) {
    const std::string round_suffix = std::to_string(round) + "-";
    harness.pause_handshakes();
    const auto burst = connect_burst(harness, round);
    static_cast<void>(harness.await_paused_handshake());
    for (const auto& client : burst)
      client->await_flushed();
    await_gateway_loop_iterations(*warm.client, "u" + round_suffix);
    for (const auto& client : burst) {
      ASSERT_TRUE(client->responses.empty());
      ASSERT_FALSE(client->closed_by_gateway);
    }
    for (const auto& client : burst)
      client->close();
    await_gateway_loop_iterations(*warm.client, "v" + round_suffix);
    harness.resume_handshakes();
    expect_reads_served(*warm.client, "b" + round_suffix, 12);
  }
  ASSERT_EQ(harness.attempt_count_with_prefix("abandoned-"), 0);

  std::vector<std::unique_ptr<TestClient>> next_clients;
  for (int i = 0; i < 60; ++i) {
    next_clients.push_back(harness.connect_client());
    expect_reads_served(*next_clients.back(), "n" + std::to_string(i) + "-", 1);
  }
  harness.expect_invariants_and_running();
}

// Guards against an attempt for a client that has gone: its close was behind so much that it had
// written, and the gateway does not read, that nothing showed it.
TEST_P(ClientDisconnects, RetriesNothingIfADisconnectMayBeUnnoticed) {
  WarmGateway warm(protocol(), 2, 8);
  GatewayHarness& harness = warm.harness;
  harness.script = {ScriptedResponse::NoResponse};
  const auto disconnecting = harness.connect_client();
  constexpr std::size_t kMoreThanTheKernelHolds = 24'000'000;
  disconnecting->write(encode_requests(0) + std::string(kMoreThanTheKernelHolds, 'x'));
  harness.await_first_attempt("abandoned-0");
  await_gateway_loop_iterations(*warm.client, "u");
  ASSERT_FALSE(disconnecting->is_flushed());

  disconnecting->close();
  await_gateway_loop_iterations(*warm.client, "v");
  // The gateway does not examine the connection of a request that it has just read.
  run_main_loop_for(std::chrono::milliseconds(50));
  for (const auto& endpoint : harness.endpoints)
    endpoint->close_connections();

  expect_reads_served(*warm.client, "b", 12);
  ASSERT_EQ(harness.attempt_count("abandoned-0"), 1);
  harness.sent_requests["abandoned-0"] = 0;  // a client sent it, and it gets no response
  harness.expect_invariants_and_running();
}

// Guards against a request that runs twice: its client disconnects while it runs, and another
// client sends it again under its id once it has ended.
TEST_P(ClientDisconnects, SendsNoRequestAgainUnderAUsedId) {
  WarmGateway warm(protocol(), 2, 8);
  GatewayHarness& harness = warm.harness;
  std::vector<Request> requests{keyed_write("keyed"), single_shot_write("single")};
  // MongoDB's drivers repeat reads with their comment.
  if (!is_mongo())
    requests.push_back(read_request("read"));
  for (const Request& request : requests) {
    SCOPED_TRACE(request.id);
    harness.script = {ScriptedResponse::NoResponse};
    const auto disconnecting = harness.connect_client();
    disconnecting->send_request(request);
    harness.await_first_attempt(request.id);
    disconnecting->close();
    await_gateway_loop_iterations(*warm.client, "u-" + request.id);
    harness.attempts.back().endpoint->respond_to_open_attempts();
    await_gateway_loop_iterations(*warm.client, "v-" + request.id);
    ASSERT_EQ(warm.client->send_and_await(request), ClientResult::Failed);
    ASSERT_EQ(harness.attempt_count(request.id), 1);
    harness.sent_requests[request.id] = 1;  // the first one gets no response
  }
  expect_reads_served(*warm.client, "b", 4);
  harness.expect_invariants_and_running();
}

// Guards against a write that runs twice: it comes again under a new id after the endpoints may
// have forgotten its key.
TEST_P(ClientDisconnects, SendsNoWriteAfterTheWindowOfItsKey) {
  for (const int window_ms : {60'000, 1}) {
    PlatformSettings settings;
    settings.deduplication_window_ms = window_ms;
    WarmGateway warm(protocol(), 2, 8, settings);
    Request first = keyed_write("first");
    Request second = keyed_write("second");
    second.idempotency_key = first.idempotency_key;
    ASSERT_EQ(warm.client->send_and_await(first), ClientResult::Served);
    run_main_loop_for(std::chrono::milliseconds(2));
    const bool is_within = window_ms > 1;
    ASSERT_EQ(warm.client->send_and_await(second),
              is_within ? ClientResult::Served : ClientResult::Failed);
    ASSERT_EQ(warm.harness.attempt_count("second"), is_within ? 1 : 0);
    warm.harness.expect_invariants_and_running();
  }
}

INSTANTIATE_TEST_SUITE_P(, ClientDisconnects, both_protocols(), protocol_name);

}  // namespace
