// The endpoint list over the discovery agent's watch. MongoDB's endpoints come from an inventory
// alone.
#include "gateway_integration_test.h"

#include <csignal>

using namespace test_harness;

namespace {

class DiscoveryWatch : public GatewayIntegrationTest {
protected:
  static void await_connection(const DiscoveryAgent& agent, int earlier_connection_count) {
    wait_until(
        [&] {
          return agent.connection_count > earlier_connection_count;
        },
        "the watch to be opened again");
  }

  // Runs `break_watch` and awaits the next watch, which must ask from `expected_revision` on.
  static void expect_watch_reopened(DiscoveryAgent& agent, const std::string& expected_revision,
                                    const std::function<void()>& break_watch) {
    const int connection_count = agent.connection_count;
    break_watch();
    await_connection(agent, connection_count);
    agent.await_watch_request();
    expect_contains(agent.received_request, "from=" + expected_revision + " ");
  }

  // The gateway has applied a list without `endpoint` once it has closed the connections to it: a
  // change that is visible from outside.
  static void await_removal_applied(const StubEndpoint& endpoint) {
    wait_until(
        [&] {
          return endpoint.open_connection_count() == 0;
        },
        "the connections to the removed endpoint " + endpoint.name + " to be closed");
  }

  static void expect_gets_no_requests(TestClient& client, const StubEndpoint& endpoint,
                                      const std::string& id_prefix) {
    const int request_count = endpoint.request_count;
    expect_reads_served(client, id_prefix, 40);
    ASSERT_EQ(endpoint.request_count, request_count) << endpoint.name;
  }

  static void expect_gets_nothing(TestClient& client, const StubEndpoint& endpoint,
                                  const std::string& id_prefix) {
    const int request_count = endpoint.request_count;
    const int health_check_count = endpoint.health_check_count;
    expect_reads_served(client, id_prefix, 30);
    ASSERT_EQ(endpoint.request_count, request_count) << endpoint.name;
    ASSERT_EQ(endpoint.health_check_count, health_check_count) << endpoint.name;
  }

  // JSON with line breaks within, and none at its end.
  [[nodiscard]] static std::string indent(std::string list) {
    list.pop_back();
    std::size_t position = list.find_first_of(",[{");
    while (position != std::string::npos) {
      list.insert(position + 1, "\n  ");
      position = list.find_first_of(",[{", position + 4);
    }
    return list;
  }
};

// A malformed line, a watch that breaks and one that falls silent are opened again; the list as
// cached serves meanwhile.
TEST_P(DiscoveryWatch, AppliesChangesAndReopensBrokenOrSilentWatch) {
  GatewayHarness harness(protocol(), 3, 0);
  DiscoveryAgent agent;
  harness.use_discovery(agent.listener.address());
  harness.start();
  agent.accept_watch();
  ASSERT_EQ(agent.received_request.substr(0, 35), "GET /api/targets?watch=1&from=0 HTT");
  agent.send_list(harness, 41);
  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 20);

  harness.endpoints[2]->listed_status = ListedStatus::Draining;
  agent.send_list(harness, 42);
  run_main_loop_for(std::chrono::milliseconds(250));
  expect_gets_no_requests(*client, *harness.endpoints[2], "b");

  // What a malformed line held is not known, so that the next watch asks for the whole list.
  expect_watch_reopened(agent, "0", [&] {
    agent.send_chunk("{\"revision\":43,\"members\":7}\n");
  });
  agent.accept_watch();
  agent.send_list(harness, 44);
  expect_watch_reopened(agent, "44", [] {});  // as it falls silent
  agent.accept_watch();
  agent.stream->close();
  expect_reads_served(*client, "c", 10);
  harness.expect_invariants_and_running();
}

// SIGHUP under load: the new agent's list applies without loss of endpoints, positions or requests
// in flight; a configuration that cannot be used changes nothing.
TEST_P(DiscoveryWatch, FollowsNewAgentAfterReload) {
  GatewayHarness harness(protocol(), 3, 0);
  DiscoveryAgent old_agent;
  DiscoveryAgent new_agent;
  harness.use_discovery(old_agent.listener.address());
  harness.start();
  old_agent.accept_watch();
  old_agent.send_list(harness, 41);
  const auto client = harness.connect_client();
  const auto waiting = harness.connect_client();
  expect_reads_served(*client, "a", 20);
  harness.script = {ScriptedResponse::NoResponse};
  waiting->send_request(read_request("in-flight", 1000));
  harness.await_first_attempt("in-flight");

  harness.reload("nowhere", "reload_rejected");
  expect_contains(harness.gateway.log, "config.json: line 1: ");
  expect_contains(harness.gateway.log, "'discovery'");
  ASSERT_EQ(new_agent.received_request, "");

  harness.reload(new_agent.listener.address(), "reload_complete");
  new_agent.accept_watch();
  // The old agent's revision has no meaning to the new one.
  expect_contains(new_agent.received_request, "from=0 ");
  old_agent.listener.close();
  harness.endpoints[2]->listed_status = ListedStatus::Draining;
  new_agent.send_list(harness, 7);
  run_main_loop_for(std::chrono::milliseconds(250));
  expect_gets_no_requests(*client, *harness.endpoints[2], "b");
  ASSERT_EQ(waiting->await_response(), ClientResult::Rejected);
  harness.expect_invariants_and_running();
}

// Lists that are indented, have no length and no end, arrive out of order, or are cut by a reset;
// a chunk whose size does not end; and a list that changed while the agent was away. An endpoint
// that was listed as draining or removed gets nothing from then on.
TEST_P(DiscoveryWatch, AppliesNewestListWhenWatchBreaksOrReordersLists) {
  GatewayHarness harness(protocol(), 3, 0);
  DiscoveryAgent agent;
  harness.use_discovery(agent.listener.address());
  harness.start();
  const auto client = harness.connect_client();
  StubEndpoint& draining = *harness.endpoints[1];
  StubEndpoint& removed = *harness.endpoints[2];

  agent.await_watch_request();
  agent.stream->write({"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
                       indent(DiscoveryAgent::encode_list(harness, 41))});
  expect_reads_served(*client, "a", 30);
  ASSERT_GT(draining.request_count, 0);
  ASSERT_GT(removed.request_count, 0);

  // An older list, which names both as up, follows the one that removes an endpoint.
  const std::string old_list = DiscoveryAgent::encode_list(harness, 42);
  draining.listed_status = ListedStatus::Draining;
  removed.listed_status = ListedStatus::Removed;
  agent.stream->write({"\n", DiscoveryAgent::encode_list(harness, 43), old_list});
  await_removal_applied(removed);
  expect_gets_nothing(*client, draining, "r0-");
  expect_gets_nothing(*client, removed, "r1-");

  // A list that a reset cuts does not apply; the next watch begins with the old one, as from an
  // agent that lags.
  expect_watch_reopened(agent, "43", [&] {
    agent.stream->write({old_list.substr(0, old_list.size() - 20)});
    agent.reset_connection();
  });
  agent.stream->write({"HTTP/1.1 200 OK\r\n\r\n", old_list});
  expect_gets_nothing(*client, draining, "r2-");
  expect_watch_reopened(agent, "42", [&] {
    agent.reset_connection();
  });
  agent.accept_watch();
  expect_watch_reopened(agent, "42", [&] {
    agent.stream->write({std::string(100, '1')});
  });
  harness.gateway.await_log("endpoint_watch_closed reason=\"a malformed chunk\"");
  agent.accept_watch();
  draining.listed_status = ListedStatus::Up;
  removed.listed_status = ListedStatus::Up;
  agent.send_list(harness, 44);
  const int request_count = draining.request_count;
  for (int i = 0; draining.request_count == request_count; ++i)
    expect_reads_served(*client, "b" + std::to_string(i) + "-", 1);

  // What changes while the agent is away applies at once when it is back.
  const std::string address = agent.listener.address();
  agent.listener.close();
  agent.reset_connection();
  expect_reads_served(*client, "c", 10);
  draining.listed_status = ListedStatus::Draining;
  removed.listed_status = ListedStatus::Removed;
  const int connection_count = agent.connection_count;
  const auto error = agent.listener.listen(address);
  ASSERT_FALSE(error) << error->message;
  await_connection(agent, connection_count);
  agent.accept_watch();
  agent.send_list(harness, 45);
  await_removal_applied(removed);
  expect_gets_nothing(*client, draining, "r3-");
  harness.expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, DiscoveryWatch, postgres_only(), protocol_name);

}  // namespace
