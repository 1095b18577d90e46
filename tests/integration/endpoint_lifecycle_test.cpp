// Endpoints that drain, are removed, fail or reset idle connections.
#include "gateway_integration_test.h"

using namespace test_harness;

namespace {

class EndpointLifecycle : public GatewayIntegrationTest {};

// An endpoint gets no new requests later than 250 ms after it is listed as draining; other
// endpoints serve the requests that arrive meanwhile.
TEST_P(EndpointLifecycle, SendsNoNewRequestsToDrainingEndpoint) {
  GatewayHarness harness(protocol(), 3, 0);
  harness.start();
  const auto client = harness.connect_client();
  StubEndpoint& draining = *harness.endpoints[1];
  expect_reads_served(*client, "a", 20);

  draining.listed_status = ListedStatus::Draining;
  harness.publish_inventory();
  const int requests_before = draining.request_count;
  expect_reads_served(*client, "b", 40);
  ASSERT_EQ(draining.request_count, requests_before);

  // Idle connections to a removed endpoint are closed at once, not when their lifetime ends.
  draining.listed_status = ListedStatus::Removed;
  harness.publish_inventory();
  wait_until(
      [&] {
        return draining.open_connection_count() == 0;
      },
      "the connections to a removed endpoint to be closed");
  harness.expect_invariants_and_running();
}

TEST_P(EndpointLifecycle, ServesReadsAfterEndpointFailure) {
  GatewayHarness harness(protocol(), 3, 0);
  harness.start();
  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 12);
  harness.endpoints[1]->shut_down();
  expect_reads_served(*client, "b", 24);
  harness.expect_invariants_and_running();
}

// Endpoints reset idle connections much earlier than the settings say. After a few resets the
// gateway replaces such connections instead of using them.
TEST_P(EndpointLifecycle, ReplacesConnectionsThatEndpointsResetWhenIdle) {
  GatewayHarness harness(protocol(), 3, 0);
  harness.start();
  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 12);
  for (const auto& endpoint : harness.endpoints)
    endpoint->idle_reset_ms = 40;

  for (int i = 0; i < 60; ++i) {
    run_main_loop_for(std::chrono::milliseconds(60));
    expect_reads_served(*client, "b" + std::to_string(i) + "-", 1);
  }

  int reset_count = 0;
  for (const auto& endpoint : harness.endpoints)
    reset_count += endpoint->idle_reset_count;
  ASSERT_GT(reset_count, 0);
  // The gateway learns from eight resets per range of idle times; on a busy machine the idle times
  // may fall into several ranges.
  ASSERT_LE(reset_count, 30);
  harness.expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, EndpointLifecycle, both_protocols(), protocol_name);

}  // namespace
