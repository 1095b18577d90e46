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
constexpr milliseconds kBeyondDrainGrace{350};     // 0.25 s, and 0.05 s of slack
constexpr milliseconds kBeyondWatchSilence{2600};  // 2.5 s

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

class HeldUpWatch : public GatewayIntegrationTest {};

// The silence timer is due when the gateway runs again, and the list is there to be read.
TEST_P(HeldUpWatch, IsReadBeforeItCountsAsSilent) {
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
TEST_P(HeldUpWatch, IsReadBeforeRequestsThatCameAfterIt) {
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
TEST_P(HeldUpWatch, IsReadBeforeAReloadClosesIt) {
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

INSTANTIATE_TEST_SUITE_P(, HeldUpWatch, postgres_only(), protocol_name);

}  // namespace
