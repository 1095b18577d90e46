// Endpoint lists that arrive while the gateway's event loop is stalled by SIGSTOP. The gateway
// reads a list that has arrived before it acts on timers, requests or signals that came after it.
#include "gateway_integration_test.h"

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

using namespace test_harness;

namespace {

using std::chrono::milliseconds;

// How long the gateway is frozen. Each is longer than a time limit of the gateway, which elapses
// meanwhile.
constexpr milliseconds kBeyondDrainGrace{350};     // the limit is 250 ms, with 50 ms of slack
constexpr milliseconds kBeyondWatchSilence{2600};  // the limit is 2.5 s

class EndpointWatchAfterStall : public GatewayIntegrationTest {
protected:
  EndpointWatchAfterStall() : gateway_(protocol(), settings()) {}

  // Lets the agent send a list and connects the clients, each of which has one read served.
  void SetUp() override {
    agent().accept_watch();
    agent().send_list(harness(), 41);
    for (int i = 0; i < kClientCount; ++i) {
      clients_.push_back(harness().connect_client());
      expect_reads_served(*clients_.back(), "warm" + std::to_string(i) + "-", 1);
    }
  }

  GatewayHarness& harness() { return gateway_.harness; }

  DiscoveryAgent& agent() { return gateway_.agent; }

  // Lets the gateway open a new watch, whose connection is newer than those of the clients.
  void reopen_watch() {
    const int connection_count = agent().connection_count;
    agent().reset_connection();
    agent().await_reconnection(connection_count);
    agent().accept_watch();
    agent().send_list(harness(), 42);
    harness().gateway.await_log("endpoint_list_received revision=42");
  }

  // Lets the agent list all endpoints as draining, and each client send a read, which waits.
  void drain_all_and_send_reads() {
    for (const auto& endpoint : harness().endpoints)
      endpoint->listed_status = ListedStatus::Draining;
    agent().send_list(harness(), 42);
    harness().gateway.await_log("endpoint_list_received revision=42");
    for (std::size_t i = 0; i < clients_.size(); ++i)
      clients_[i]->send_request(read_request("waiting" + std::to_string(i), 4000));
    const auto other = harness().connect_client();
    await_gateway_loop_iterations(*other, "iteration");
    requests_before_ = draining().request_count;
  }

  // Freezes the gateway. Meanwhile the agent sends two lists: in the first, one endpoint is up, and
  // in the second that one is draining and another is up.
  void freeze_and_send_two_lists() {
    harness().gateway.freeze();
    draining().listed_status = ListedStatus::Up;
    agent().send_list(harness(), 43);
    draining().listed_status = ListedStatus::Draining;
    harness().endpoints[1]->listed_status = ListedStatus::Up;
    agent().send_list(harness(), 44);
    wait_until(
        [this] {
          return agent().stream->all_written();
        },
        "the kernel to accept the lists");
  }

  // Freezes the gateway. Meanwhile the agent lists an endpoint as draining, and after that each
  // client sends a read.
  void freeze_drain_and_send_reads() {
    harness().gateway.freeze();
    draining().listed_status = ListedStatus::Draining;
    agent().send_list(harness(), 43);
    wait_until(
        [this] {
          return agent().stream->all_written();
        },
        "the kernel to accept the list");
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      clients_[i]->send_request(read_request("delayed" + std::to_string(i), 4000));
      clients_[i]->await_flushed();
    }
    requests_before_ = draining().request_count;
  }

  void expect_reads_served_by_other_endpoints() {
    for (const auto& client : clients_)
      ASSERT_EQ(client->await_response(), ClientResult::Served);
    ASSERT_EQ(draining().request_count, requests_before_);
    harness().expect_invariants_and_running();
  }

private:
  static constexpr int kClientCount = 30;

  static PlatformSettings settings() {
    PlatformSettings settings;
    settings.latency_objective_ms = 10'000;
    return settings;
  }

  StubEndpoint& draining() { return *harness().endpoints[2]; }

  GatewayWithDiscoveryAgent gateway_;
  std::vector<std::unique_ptr<TestClient>> clients_;
  int requests_before_ = 0;
};

// When the gateway runs again, the timer for a silent watch is due, but the list has arrived.
TEST_P(EndpointWatchAfterStall, ReadsPendingListBeforeSilenceTimeout) {
  freeze_drain_and_send_reads();
  run_main_loop_for(kBeyondWatchSilence);

  harness().gateway.resume();

  expect_reads_served_by_other_endpoints();
  ASSERT_FALSE(harness().gateway.has_logged("endpoint_watch_closed reason=silent"));
}

// When the gateway runs again, the list and the requests have arrived, and the clients' connections
// are older than the watch's.
TEST_P(EndpointWatchAfterStall, ReadsPendingListBeforeLaterRequests) {
  reopen_watch();
  freeze_drain_and_send_reads();
  run_main_loop_for(kBeyondDrainGrace);

  harness().gateway.resume();

  expect_reads_served_by_other_endpoints();
}

// When the gateway runs again, two lists have arrived, and requests wait that only the endpoint
// which the second one lists as draining could serve after the first.
TEST_P(EndpointWatchAfterStall, ReadsAllPendingListsBeforeWaitingRequests) {
  drain_all_and_send_reads();
  freeze_and_send_two_lists();
  run_main_loop_for(kBeyondDrainGrace);

  harness().gateway.resume();

  expect_reads_served_by_other_endpoints();
}

// A reload after SIGHUP names another agent while the list of the current one waits to be read.
TEST_P(EndpointWatchAfterStall, ReadsPendingListBeforeReloadClosesWatch) {
  DiscoveryAgent next_agent;
  freeze_drain_and_send_reads();
  harness().write_discovery_address(next_agent.listener.address());
  harness().gateway.send_signal(SIGHUP);
  run_main_loop_for(kBeyondDrainGrace);

  harness().gateway.resume();

  next_agent.await_watch_request();  // the agent does not respond to it
  expect_reads_served_by_other_endpoints();
}

INSTANTIATE_TEST_SUITE_P(, EndpointWatchAfterStall, postgres_only(), protocol_name);

}  // namespace
