// Endpoints that drain, are removed, fail or close idle connections.
#include "gateway_integration_test.h"

#include <csignal>
#include <string>

using namespace test_harness;

namespace {

class EndpointLifecycle : public GatewayIntegrationTest {};

// An endpoint must get no new requests later than 250 ms after it is listed as draining. The
// gateway sends it none once it has reloaded the inventory; other endpoints serve the requests.
TEST_P(EndpointLifecycle, SendsNoNewRequestsToDrainingEndpoint) {
  WarmGateway warm(protocol(), 3, 20);
  StubEndpoint& draining = *warm.harness.endpoints[1];

  draining.listed_status = ListedStatus::Draining;
  warm.harness.publish_inventory();
  const int requests_before = draining.request_count;
  expect_reads_served(*warm.client, "b", 40);
  ASSERT_EQ(draining.request_count, requests_before);

  // Idle connections to a removed endpoint are closed at once, not when their lifetime ends.
  draining.listed_status = ListedStatus::Removed;
  warm.harness.publish_inventory();
  draining.await_connections_closed();
  warm.harness.expect_invariants_and_running();
}

TEST_P(EndpointLifecycle, ServesReadsAfterEndpointFailure) {
  WarmGateway warm(protocol(), 3, 12);
  warm.harness.endpoints[1]->shut_down();
  expect_reads_served(*warm.client, "b", 24);
  warm.harness.expect_invariants_and_running();
}

// Endpoints close idle connections after 40 ms, while the settings say 30 s. After a few such
// closes the gateway replaces connections that have been idle instead of using them.
TEST_P(EndpointLifecycle, ReplacesConnectionsThatEndpointsCloseWhenIdle) {
  WarmGateway warm(protocol(), 3, 12);
  for (const auto& endpoint : warm.harness.endpoints)
    endpoint->idle_close_ms = 40;

  for (int i = 0; i < 60; ++i) {
    run_main_loop_for(std::chrono::milliseconds(60));
    expect_reads_served(*warm.client, "b" + std::to_string(i) + "-", 1);
  }

  int close_count = 0;
  for (const auto& endpoint : warm.harness.endpoints)
    close_count += endpoint->idle_close_count;
  ASSERT_GT(close_count, 0);
  // The gateway's estimate needs eight samples in one interval of idle times. On a busy machine the
  // idle times may fall into several intervals.
  ASSERT_LE(close_count, 30);
  warm.harness.expect_invariants_and_running();
}

// SIGHUP comes while an inventory is being written, and what is there ends with a whole line. The
// gateway is frozen while the rest is written; a try in which it was frozen too late is repeated.
TEST_P(EndpointLifecycle, AppliesAnInventoryOnlyOnceItIsWritten) {
  constexpr int kMaxTries = 20;
  WarmGateway warm(protocol(), 3, 12);
  GatewayProcess& gateway = warm.harness.gateway;
  const std::string inventory = warm.harness.inventory_text();
  const std::size_t first_part = inventory.rfind('\n', inventory.size() - 2) + 1;
  bool is_frozen_in_time = false;
  for (int i = 0; i < kMaxTries && !is_frozen_in_time; ++i) {
    warm.harness.publish_inventory();
    const std::size_t log_size = gateway.log.size();
    warm.harness.write_inventory(inventory.substr(0, first_part));
    gateway.send_signal(SIGHUP);
    gateway.await_log("reload_started", log_size);
    gateway.freeze();
    gateway.read_log();
    is_frozen_in_time = gateway.log.find("reload_rejected", log_size) == std::string::npos;
    warm.harness.write_inventory(inventory);
    gateway.resume();
    gateway.await_log(is_frozen_in_time ? "reload_complete" : "reload_rejected", log_size);
    const bool has_removed = gateway.log.find("endpoint_removed", log_size) != std::string::npos;
    ASSERT_FALSE(has_removed) << "a part of the inventory was applied";
  }
  ASSERT_TRUE(is_frozen_in_time);
}

// Guards against a list that loses endpoints, and against foreign data, because a rewrite of the
// inventory stops behind a whole line.
TEST_P(EndpointLifecycle, RejectsAnInventoryThatStaysHalfWritten) {
  WarmGateway warm(protocol(), 3, 12);
  GatewayProcess& gateway = warm.harness.gateway;
  const std::string inventory = warm.harness.inventory_text();
  const std::size_t log_size = gateway.log.size();
  for (std::size_t size = inventory.rfind('\n', inventory.size() - 2) + 1;
       std::count(inventory.begin(), inventory.begin() + static_cast<std::ptrdiff_t>(size), '\n') >
       1;
       size = inventory.rfind('\n', size - 2) + 1) {
    const std::size_t reload_begin = gateway.log.size();
    warm.harness.write_inventory(inventory.substr(0, size));
    gateway.send_signal(SIGHUP);
    gateway.await_log("reload_rejected", reload_begin);
  }
  const std::size_t last_begin = gateway.log.size();
  warm.harness.write_inventory(inventory);
  gateway.send_signal(SIGHUP);
  gateway.await_log("reload_complete", last_begin);
  ASSERT_EQ(gateway.log.find("endpoint_removed", log_size), std::string::npos);
  warm.harness.expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, EndpointLifecycle, both_protocols(), protocol_name);

}  // namespace
