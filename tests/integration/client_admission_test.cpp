// How the gateway treats clients that send malformed input, keep connections open without using
// them, or write without reading the responses.
#include "gateway_integration_test.h"

#include <algorithm>

using namespace test_harness;

namespace {

using Clients = std::vector<std::unique_ptr<TestClient>>;

class ClientAdmission : public GatewayIntegrationTest {
protected:
  [[nodiscard]] static std::vector<std::string> malformed_inputs() {
    const std::string handshake = protocol().client_handshake();
    const std::string request = protocol().encode_request(read_request("cut"));
    std::vector<std::string> inputs{std::string(64, '\xff'), handshake + std::string(64, '\xff'),
                                    std::string(64, '\0')};
    for (std::size_t position = 0; position < request.size(); position += 3) {
      std::string corrupted = request;
      corrupted[position] = static_cast<char>(corrupted[position] ^ 0x55);
      inputs.push_back(handshake + corrupted);
    }
    return inputs;
  }

  // Connects 250 clients that send nothing and 25 that send half a request.
  [[nodiscard]] static Clients connect_idle_clients(GatewayHarness& harness) {
    const std::string half_request = protocol().encode_request(read_request("half")).substr(0, 30);
    Clients clients;
    for (int i = 0; i < 250; ++i) {
      clients.push_back(harness.connect_silent_client());
      if (i % 10 != 9)
        continue;
      clients.push_back(harness.connect_client());
      clients.back()->write(half_request);
    }
    return clients;
  }

  // Returns whether a new client's read is served. On an overloaded machine the gateway may reject
  // the client, because its handshake arrives too late.
  [[nodiscard]] static bool serves_new_client(GatewayHarness& harness, const std::string& id) {
    const auto client = harness.connect_client();
    client->send_request(read_request(id));
    wait_until(
        [&] {
          return !client->responses.empty() || client->closed_by_gateway;
        },
        "a response to a new client, or the end of its connection");
    if (!client->responses.empty() && client->responses.front() == ClientResult::Served)
      return true;
    --harness.sent_requests[id];
    harness.response_count -= static_cast<int>(client->responses.size());
    return false;
  }

  static void expect_idle_clients_closed(GatewayHarness& harness, const Clients& clients) {
    for (const auto& client : clients)
      client->await_close("the connection of an idle client to be closed");
    // They completed no request, so the errors that they received do not count as responses.
    for (const auto& client : clients)
      harness.response_count -= static_cast<int>(client->responses.size());
  }

  // Clients that stay connected after one request use up the capacity of others: while more than a
  // quarter of the capacity is in use, the gateway closes connections that were idle for 2.05 s.
  static void expect_surplus_clients_evicted(GatewayHarness& harness) {
    Clients clients;
    for (int i = 0; i < 60; ++i) {
      clients.push_back(harness.connect_client());
      ASSERT_EQ(clients.back()->send_and_await(read_request("stay" + std::to_string(i))),
                ClientResult::Served);
    }
    wait_until(
        [&] {
          return std::count_if(clients.begin(), clients.end(), [](const auto& client) {
                   return !client->closed_by_gateway;
                 }) <= 45;
        },
        "all but 45 connections of idle clients to be closed");
  }
};

TEST_P(ClientAdmission, ConfinesMalformedInputToItsConnection) {
  GatewayHarness harness(protocol(), 2, 0);
  harness.start();
  const auto good = harness.connect_client();
  ASSERT_EQ(good->send_and_await(read_request("first")), ClientResult::Served);
  for (const std::string& input : malformed_inputs()) {
    const auto bad = harness.connect_client();
    bad->write(input);
    run_main_loop_for(std::chrono::milliseconds(1));
    bad->close();
  }
  const auto oversized = harness.connect_client();
  oversized->write(protocol().encode_request(read_request("big")).substr(0, 1) +
                   std::string(1 << 20, 'x'));
  oversized->await_close("the connection of an oversized message to be closed");

  // A request of an unknown class and a write in a class for reads fail with an error; the
  // connection stays open.
  const auto client = harness.connect_client();
  ASSERT_EQ(client->send_and_await(unknown_class_request("unknown-class")), ClientResult::Failed);
  Request write_in_read_class = keyed_write("read-class");
  write_in_read_class.service_class = "any";
  ASSERT_EQ(client->send_and_await(write_in_read_class), ClientResult::Failed);
  ASSERT_EQ(client->send_and_await(read_request("same-connection")), ClientResult::Served);
  ASSERT_EQ(good->send_and_await(read_request("last")), ClientResult::Served);
  ASSERT_TRUE(harness.gateway.is_running());
}

TEST_P(ClientAdmission, ServesActiveClientsDespiteIdleAndFloodingClients) {
  GatewayHarness harness(protocol(), 2, 0);
  harness.start();
  const auto active = harness.connect_client();
  ASSERT_EQ(active->send_and_await(read_request("active")), ClientResult::Served);
  {
    const Clients idle_clients = connect_idle_clients(harness);
    int served_count = 0;
    while (served_count < 10)
      if (serves_new_client(harness, "new" + std::to_string(served_count)))
        ++served_count;
    expect_idle_clients_closed(harness, idle_clients);
  }
  expect_surplus_clients_evicted(harness);

  // A request fails if its id is in flight already, even for another client; requests with other
  // ids are served.
  const auto other = harness.connect_client();
  const auto flooding = harness.connect_client();
  harness.script = {ScriptedResponse::NoResponse};
  other->send_request(read_request("open", 900));
  harness.await_first_attempt("open");
  ASSERT_EQ(flooding->send_and_await(read_request("open")), ClientResult::Failed);
  for (int i = 0; i < 300; ++i)
    flooding->send_request(unknown_class_request("b" + std::to_string(i)));
  flooding->send_request(read_request("last"));
  for (int i = 0; i < 300; ++i)
    ASSERT_EQ(flooding->await_response(), ClientResult::Failed) << "request b" << i;
  ASSERT_EQ(flooding->await_response(), ClientResult::Served);
  ASSERT_EQ(other->await_response(), ClientResult::Rejected);
  ASSERT_EQ(harness.attempt_count("open"), 1);
  harness.expect_invariants_and_running();
}

// A client that keeps writing receives the error that the gateway sends before it closes the
// connection. A socket that is closed with unread input resets the connection, and a reset may
// discard the error.
TEST_P(ClientAdmission, DeliversErrorToClientThatKeepsWriting) {
  GatewayHarness harness(protocol(), 2, 0);
  harness.start();
  const auto active = harness.connect_client();
  ASSERT_EQ(active->send_and_await(read_request("active")), ClientResult::Served);
  // 20 clients exceed the number of connections that may linger at the same time.
  for (int i = 0; i < 20; ++i) {
    const auto client = harness.connect_client();
    // The gateway rejects the first bytes while the rest of the 64 KiB is unread.
    client->write(std::string(64 * 1024, '\xff'));
    client->await_close("the connection of a client with malformed input to be closed");
    ASSERT_EQ(client->close_reason, "closed by the peer");
    ASSERT_GT(client->unparsed_input.size() + client->responses.size(), 0U);
    // It sent no valid request, so the error that it received does not count as a response.
    harness.response_count -= static_cast<int>(client->responses.size());
  }
  harness.expect_invariants_and_running();
}

// Guards against answers that are cut off because other clients occupy the buffers: the connection
// with the largest buffers was closed, also if they held an answer.
TEST_P(ClientAdmission, ClosesIncompleteMessagesBeforeAnswers) {
  constexpr int kRequestCount = 200;
  constexpr std::size_t kValueBytes = 120'000;
  constexpr std::size_t kHalfMessageBytes = 20'000;
  GatewayHarness harness(protocol(), 3, 0, "limits { buffered_mib: 1 }");
  harness.start();
  const auto other = harness.connect_client();
  expect_reads_served(*other, "warm", 8);
  harness.set_min_value_bytes(kValueBytes);
  const auto reader = harness.connect_client();
  reader->pause_reading();
  for (int i = 0; i < kRequestCount; ++i)
    reader->send_request(read_request("read" + std::to_string(i)));
  // The kernel accepts answers up to some number, and the gateway forwards no request meanwhile.
  int attempt_count = -1;
  for (int round = 0; attempt_count != harness.attempt_count_with_prefix("read"); ++round) {
    attempt_count = harness.attempt_count_with_prefix("read");
    run_main_loop_for(std::chrono::milliseconds(50));
    await_gateway_loop_iterations(*other, "u" + std::to_string(round) + "-");
  }
  ASSERT_LT(attempt_count, kRequestCount);

  Clients stopped;
  for (int i = 0; i < 80; ++i) {
    stopped.push_back(harness.connect_client());
    Request large = read_request("stopped" + std::to_string(i));
    large.id.resize(2 * kHalfMessageBytes, 'x');
    stopped.back()->write(protocol().encode_request(large).substr(0, kHalfMessageBytes));
  }
  for (const auto& client : stopped)
    client->await_flushed();
  await_gateway_loop_iterations(*other, "v");
  const auto closed = std::count_if(stopped.begin(), stopped.end(), [](const auto& client) {
    return client->closed_by_gateway;
  });
  EXPECT_GT(closed, 0);

  reader->resume_reading();
  for (int i = 0; i < kRequestCount; ++i)
    ASSERT_EQ(reader->await_response(), ClientResult::Served) << i;
  for (const auto& client : stopped)  // each error that a client got instead of its answer
    harness.response_count -= static_cast<int>(client->responses.size());
  harness.expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, ClientAdmission, both_protocols(), protocol_name);

}  // namespace
