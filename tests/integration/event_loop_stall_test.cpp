// The gateway does not run for a while, as SIGSTOP has it or as a long turn of its own loop would.
// What arrives meanwhile waits in the kernel; its order and its times are what counts, and not the
// order in which the gateway comes to it.
#include "gateway_integration_test.h"

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

using namespace test_harness;

namespace {

using std::chrono::milliseconds;

// Above the gateway's bounds, which count while it does not run.
constexpr milliseconds kBeyondDrainGrace{350};        // 0.25 s, and 0.05 s of slack
constexpr milliseconds kBeyondWatchSilence{2600};     // 2.5 s
constexpr milliseconds kBeyondMessageDelay{2600};     // 2.5 s
constexpr milliseconds kBeyondConnectTimeout{1600};   // 1.5 s, as the test sets it
constexpr milliseconds kBeyondRequestDeadline{2600};  // 2.5 s
constexpr milliseconds kBeyondKeepalive{2200};        // 2 s, as the test sets it
constexpr milliseconds kLongPause{1000};

using Clients = std::vector<std::unique_ptr<TestClient>>;

Clients connect_clients(GatewayHarness& harness, int count) {
  Clients clients;
  for (int i = 0; i < count; ++i) {
    clients.push_back(harness.connect_client());
    expect_reads_served(*clients.back(), "warm" + std::to_string(i) + "-", 1);
  }
  return clients;
}

void send_reads(const Clients& clients, const std::string& id_prefix) {
  for (std::size_t i = 0; i < clients.size(); ++i) {
    clients[i]->send_request(read_request(id_prefix + std::to_string(i), 4000));
    clients[i]->await_flushed();
  }
}

void expect_all_served(const Clients& clients) {
  for (const auto& client : clients)
    ASSERT_EQ(client->await_response(), ClientResult::Served);
}

// A gateway whose endpoint list comes from an agent, with clients that have been served.
struct WatchedGateway {
  explicit WatchedGateway(const Protocol& protocol) : harness(protocol, 3, 0) {
    PlatformSettings settings;
    settings.latency_objective_ms = 10'000;
    harness.set_platform_settings(settings);
    harness.use_discovery(agent.listener.address());
    harness.start();
    agent.accept_watch();
    agent.send_list(harness, 41);
    clients = connect_clients(harness, 30);
  }

  /// Has the agent open the watch anew, behind the clients' connections.
  void reopen_watch() {
    const int connection_count = agent.connection_count;
    agent.reset_connection();
    wait_until(
        [&] {
          return agent.connection_count > connection_count;
        },
        "the watch to be opened again");
    agent.accept_watch();
    agent.send_list(harness, 42);
    harness.gateway.await_log("endpoint_list_received revision=42");
  }

  /// Freezes the gateway, has the agent tell that one endpoint drains, and then has each client
  /// send a read. Returns that endpoint.
  StubEndpoint& freeze_drain_and_send(int revision) {
    StubEndpoint& draining = *harness.endpoints[2];
    harness.gateway.freeze();
    draining.listed_status = ListedStatus::Draining;
    agent.send_list(harness, revision);
    wait_until(
        [&] {
          return agent.stream->all_written();
        },
        "the list to be with the kernel");
    send_reads(clients, "held");
    return draining;
  }

  GatewayHarness harness;
  DiscoveryAgent agent;
  Clients clients;
};

class EndpointWatchAfterStall : public GatewayIntegrationTest {};

// The silence timer is due when the gateway runs again, and the list is there to be read.
TEST_P(EndpointWatchAfterStall, ReadsPendingListBeforeSilenceTimeout) {
  WatchedGateway watched(protocol());
  const StubEndpoint& draining = watched.freeze_drain_and_send(43);
  const int requests_before = draining.request_count;
  run_main_loop_for(kBeyondWatchSilence);

  watched.harness.gateway.resume();

  expect_all_served(watched.clients);
  ASSERT_EQ(draining.request_count, requests_before);
  ASSERT_FALSE(watched.harness.gateway.has_logged("endpoint_watch_closed reason=silent"));
  watched.harness.expect_invariants_and_running();
}

// The requests and the list are there together, and the clients' connections are the older ones.
TEST_P(EndpointWatchAfterStall, ReadsPendingListBeforeLaterRequests) {
  WatchedGateway watched(protocol());
  watched.reopen_watch();
  const StubEndpoint& draining = watched.freeze_drain_and_send(43);
  const int requests_before = draining.request_count;
  run_main_loop_for(kBeyondDrainGrace);

  watched.harness.gateway.resume();

  expect_all_served(watched.clients);
  ASSERT_EQ(draining.request_count, requests_before);
  watched.harness.expect_invariants_and_running();
}

// SIGHUP names another agent while the list of the present one waits to be read.
TEST_P(EndpointWatchAfterStall, ReadsPendingListBeforeReloadClosesWatch) {
  WatchedGateway watched(protocol());
  DiscoveryAgent next_agent;
  const StubEndpoint& draining = watched.freeze_drain_and_send(43);
  const int requests_before = draining.request_count;
  watched.harness.write_discovery_address(next_agent.listener.address());
  watched.harness.gateway.send_signal(SIGHUP);
  run_main_loop_for(kBeyondDrainGrace);

  watched.harness.gateway.resume();

  next_agent.await_watch_request();  // and does not answer
  expect_all_served(watched.clients);
  ASSERT_EQ(draining.request_count, requests_before);
  watched.harness.expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, EndpointWatchAfterStall, postgres_only(), protocol_name);

class EventLoopStall : public GatewayIntegrationTest {};

// The connection's timeout is due when the gateway runs again, and its handshake reply has arrived.
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

// The attempt's timeout and the request's deadline are due, and the response is there.
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

// A request is read long after it arrived: its client has waited all the while.
TEST_P(EventLoopStall, ForwardsNoMoreThanRemainingClientTime) {
  constexpr int kTimeoutMs = 2000;
  constexpr int kSlackMs = 150;
  WarmGateway warm(protocol(), 2, 8);
  warm.harness.gateway.freeze();
  warm.client->send_request(read_request("late", kTimeoutMs));
  warm.client->await_flushed();
  run_main_loop_for(kLongPause);

  warm.harness.gateway.resume();

  ASSERT_EQ(warm.client->await_response(), ClientResult::Served);
  ASSERT_EQ(warm.harness.attempts.back().request.id, "late");
  ASSERT_LE(warm.harness.attempts.back().request.timeout_ms,
            kTimeoutMs - kLongPause.count() + kSlackMs);
  warm.harness.expect_invariants_and_running();
}

// The rest of a message came in time, and the bound on incomplete ones is due.
TEST_P(EventLoopStall, ServesMessageThatWasCompletedBeforeTimeout) {
  WarmGateway warm(protocol(), 2, 8);
  const std::string message = protocol().encode_request(read_request("halves", 6000));
  warm.client->write(message.substr(0, message.size() / 2));
  const auto other = warm.harness.connect_client();
  await_gateway_loop_iterations(*other, "turn");
  warm.harness.gateway.freeze();
  warm.harness.sent_requests["halves"] = 1;
  warm.client->write(message.substr(message.size() / 2));
  warm.client->await_flushed();
  run_main_loop_for(kBeyondMessageDelay);

  warm.harness.gateway.resume();

  ASSERT_EQ(warm.client->await_response(), ClientResult::Served);
  warm.harness.expect_invariants_and_running();
}

// The client's end and the end of its first attempt are both there, and the attempt's connection is
// the older one.
TEST_P(EventLoopStall, DoesNotRetryForDisconnectedClient) {
  WarmGateway warm(protocol(), 3, 24);
  const auto leaving = warm.harness.connect_client();
  warm.harness.script = {ScriptedResponse::NoResponse};
  leaving->send_request(read_request("left"));
  warm.harness.await_first_attempt("left");
  StubEndpoint& first = *warm.harness.attempts.back().endpoint;
  warm.harness.gateway.freeze();
  leaving->close();
  first.close_connections();
  run_main_loop_for(kBeyondDrainGrace);

  warm.harness.gateway.resume();

  expect_reads_served(*warm.client, "b", 8);
  ASSERT_EQ(warm.harness.attempt_count("left"), 1);
  ASSERT_TRUE(warm.harness.gateway.is_running());
}

// The former primary has said that it is a replica, and then another write comes, on a connection
// that is older than the endpoint's.
TEST_P(EventLoopStall, ReadsResponsesBeforeLaterRequests) {
  GatewayHarness harness(protocol(), 2, 0);
  harness.start();
  const auto later = harness.connect_client();
  const auto client = harness.connect_client();
  ASSERT_EQ(client->send_and_await(keyed_write("warm")), ClientResult::Served);
  for (const auto& endpoint : harness.endpoints)
    endpoint->close_connections();
  ASSERT_EQ(client->send_and_await(keyed_write("reopen")), ClientResult::Served);
  StubEndpoint& former = *harness.endpoints[0];
  harness.script = {ScriptedResponse::NoResponse};
  client->send_request(keyed_write("first"));
  harness.await_first_attempt("first");
  harness.gateway.freeze();
  former.replication.is_primary = false;
  harness.endpoints[1]->replication.is_primary = true;
  former.respond_to_open_attempts(ScriptedResponse::RejectNotPrimary);
  later->send_request(keyed_write("later"));
  later->await_flushed();
  run_main_loop_for(kBeyondDrainGrace);
  const int requests_before = former.request_count;

  harness.gateway.resume();

  ASSERT_EQ(client->await_response(), ClientResult::Served);
  ASSERT_EQ(later->await_response(), ClientResult::Served);
  ASSERT_EQ(former.request_count, requests_before);
  harness.expect_invariants_and_running();
}

// An idle connection has rested for longer than its endpoint keeps it, and its retirement is due.
TEST_P(EventLoopStall, DoesNotReuseConnectionIdleBeyondKeepalive) {
  PlatformSettings settings;
  settings.keepalive_ms = 2000;
  WarmGateway warm(protocol(), 2, 8, settings);
  for (const auto& endpoint : warm.harness.endpoints)
    endpoint->idle_reset_ms = settings.keepalive_ms;
  warm.harness.gateway.freeze();
  warm.client->send_request(keyed_write("rested"));
  warm.client->await_flushed();
  run_main_loop_for(kBeyondKeepalive);

  warm.harness.gateway.resume();

  ASSERT_EQ(warm.client->await_response(), ClientResult::Served);
  for (const auto& endpoint : warm.harness.endpoints)
    ASSERT_EQ(endpoint->idle_reset_count, 0) << endpoint->name;
  warm.harness.expect_invariants_and_running();
}

// The log's pipe is full, as nobody reads it; the gateway serves on.
TEST_P(EventLoopStall, IsNotCausedByFullLogPipe) {
  constexpr int kFailures = 40;             // each logs a line of about 190 bytes
  constexpr int kReadsBetweenFailures = 9;  // so that no endpoint is ejected for its errors
  constexpr milliseconds kInterval{200};    // the log takes five lines of an event in a second
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
