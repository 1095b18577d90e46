// The endpoint list that a discovery agent sends over a watch. These tests run for PostgreSQL only,
// because MongoDB's endpoints never come from discovery.
#include "gateway_integration_test.h"

#include <functional>
#include <memory>
#include <string>

using namespace test_harness;

namespace {

class DiscoveryWatch : public GatewayIntegrationTest {
protected:
  DiscoveryWatch() : gateway_(protocol()) {}

  GatewayHarness& harness() { return gateway_.harness; }

  DiscoveryAgent& agent() { return gateway_.agent; }

  StubEndpoint& endpoint(std::size_t index) { return *harness().endpoints[index]; }

  // Runs `break_watch` and waits for the next watch, whose request must ask for changes from
  // `expected_revision` on.
  void expect_watch_reopened(const std::string& expected_revision,
                             const std::function<void()>& break_watch) {
    const int connection_count = agent().connection_count;
    break_watch();
    agent().await_reconnection(connection_count);
    agent().await_watch_request();
    expect_contains(agent().received_request, "from=" + expected_revision + " ");
  }

  // Asserts that 40 reads are served and none of them goes to `endpoint`.
  static void expect_gets_no_requests(TestClient& client, const StubEndpoint& endpoint,
                                      const std::string& id_prefix) {
    const int request_count = endpoint.request_count;
    expect_reads_served(client, id_prefix, 40);
    ASSERT_EQ(endpoint.request_count, request_count) << endpoint.name;
  }

  // Asserts that 30 reads are served while `endpoint` gets neither requests nor health checks.
  static void expect_gets_no_traffic(TestClient& client, const StubEndpoint& endpoint,
                                     const std::string& id_prefix) {
    const int request_count = endpoint.request_count;
    const int health_check_count = endpoint.health_check_count;
    expect_reads_served(client, id_prefix, 30);
    ASSERT_EQ(endpoint.request_count, request_count) << endpoint.name;
    ASSERT_EQ(endpoint.health_check_count, health_check_count) << endpoint.name;
  }

  // Inserts line breaks into the JSON text `list` and removes the one at its end.
  [[nodiscard]] static std::string indent(std::string list) {
    list.pop_back();
    std::size_t position = list.find_first_of(",[{");
    while (position != std::string::npos) {
      list.insert(position + 1, "\n  ");
      position = list.find_first_of(",[{", position + 4);
    }
    return list;
  }

private:
  GatewayWithDiscoveryAgent gateway_;
};

// The gateway opens a new watch after a malformed line, a connection that breaks and a watch that
// falls silent; the cached list serves meanwhile.
TEST_P(DiscoveryWatch, AppliesChangesAndReopensBrokenOrSilentWatch) {
  agent().accept_watch();
  ASSERT_EQ(agent().received_request.substr(0, 35), "GET /api/targets?watch=1&from=0 HTT");
  agent().send_list(harness(), 41);
  const auto client = harness().connect_client();
  expect_reads_served(*client, "a", 20);

  endpoint(2).listed_status = ListedStatus::Draining;
  agent().send_list(harness(), 42);
  run_main_loop_for(std::chrono::milliseconds(250));
  expect_gets_no_requests(*client, endpoint(2), "b");

  // The content of a malformed line is not known, so the next watch asks for the whole list.
  expect_watch_reopened("0", [this] {
    agent().send_chunk("{\"revision\":43,\"members\":7}\n");
  });
  agent().accept_watch();
  agent().send_list(harness(), 44);
  expect_watch_reopened("44", [] {});  // the watch falls silent
  agent().accept_watch();
  agent().stream->close();
  expect_reads_served(*client, "c", 10);
  harness().expect_invariants_and_running();
}

// SIGHUP under load: the gateway applies the new agent's list without losing endpoints, replication
// positions or requests in flight. A configuration that is not valid changes nothing.
TEST_P(DiscoveryWatch, FollowsNewAgentAfterReload) {
  DiscoveryAgent new_agent;
  agent().accept_watch();
  agent().send_list(harness(), 41);
  const auto client = harness().connect_client();
  const auto waiting = harness().connect_client();
  expect_reads_served(*client, "a", 20);
  harness().script = {ScriptedResponse::NoResponse};
  waiting->send_request(read_request("in-flight", 1000));
  harness().await_first_attempt("in-flight");

  harness().reload("nowhere", "reload_rejected");
  expect_contains(harness().gateway.log, "config.json: line 1: ");
  expect_contains(harness().gateway.log, "'discovery'");
  ASSERT_EQ(new_agent.received_request, "");

  harness().reload(new_agent.listener.address(), "reload_complete");
  new_agent.accept_watch();
  // The old agent's revision has no meaning for the new one.
  expect_contains(new_agent.received_request, "from=0 ");
  agent().listener.close();
  endpoint(2).listed_status = ListedStatus::Draining;
  new_agent.send_list(harness(), 7);
  run_main_loop_for(std::chrono::milliseconds(250));
  expect_gets_no_requests(*client, endpoint(2), "b");
  ASSERT_EQ(waiting->await_response(), ClientResult::Rejected);
  harness().expect_invariants_and_running();
}

// One endpoint drains and another is removed while lists arrive incomplete, out of order or in an
// unusual format. Neither endpoint gets traffic until a newer list names it as up.
class DiscoveryWatchDisruption : public DiscoveryWatch {
protected:
  void SetUp() override { client_ = harness().connect_client(); }

  StubEndpoint& draining() { return endpoint(1); }

  StubEndpoint& removed() { return endpoint(2); }

  void list_both_as(ListedStatus status_of_draining, ListedStatus status_of_removed) {
    draining().listed_status = status_of_draining;
    removed().listed_status = status_of_removed;
  }

  void expect_indented_list_without_final_newline_applied();
  void expect_older_list_ignored();
  void expect_list_survives_broken_watches();
  void expect_newer_list_applied();
  void expect_changes_applied_after_agent_returns();

  std::unique_ptr<TestClient> client_;
  std::string list_with_both_up_;
};

void DiscoveryWatchDisruption::expect_indented_list_without_final_newline_applied() {
  agent().await_watch_request();
  agent().stream->write({"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
                         indent(DiscoveryAgent::encode_list(harness(), 41))});
  expect_reads_served(*client_, "a", 30);
  ASSERT_GT(draining().request_count, 0);
  ASSERT_GT(removed().request_count, 0);
}

// A list that names both endpoints as up arrives after a newer list.
void DiscoveryWatchDisruption::expect_older_list_ignored() {
  list_with_both_up_ = DiscoveryAgent::encode_list(harness(), 42);
  list_both_as(ListedStatus::Draining, ListedStatus::Removed);
  agent().stream->write({"\n", DiscoveryAgent::encode_list(harness(), 43), list_with_both_up_});
  removed().await_connections_closed();
  expect_gets_no_traffic(*client_, draining(), "r0-");
  expect_gets_no_traffic(*client_, removed(), "r1-");
}

// Three watches break. On the first, a reset cuts a list short, which is not applied. The second
// starts with an older list, as an agent that lags would send it. On the third, the size of a chunk
// does not end.
void DiscoveryWatchDisruption::expect_list_survives_broken_watches() {
  expect_watch_reopened("43", [this] {
    agent().stream->write({list_with_both_up_.substr(0, list_with_both_up_.size() - 20)});
    agent().reset_connection();
  });
  agent().stream->write({"HTTP/1.1 200 OK\r\n\r\n", list_with_both_up_});
  expect_gets_no_traffic(*client_, draining(), "r2-");
  expect_watch_reopened("42", [this] {
    agent().reset_connection();
  });
  agent().accept_watch();
  expect_watch_reopened("42", [this] {
    agent().stream->write({std::string(100, '1')});
  });
  harness().gateway.await_log("endpoint_watch_closed reason=\"a malformed chunk\"");
  agent().accept_watch();
}

void DiscoveryWatchDisruption::expect_newer_list_applied() {
  list_both_as(ListedStatus::Up, ListedStatus::Up);
  agent().send_list(harness(), 44);
  const int request_count = draining().request_count;
  for (int i = 0; draining().request_count == request_count; ++i)
    expect_reads_served(*client_, "b" + std::to_string(i) + "-", 1);
}

void DiscoveryWatchDisruption::expect_changes_applied_after_agent_returns() {
  const std::string address = agent().listener.address();
  agent().listener.close();
  agent().reset_connection();
  expect_reads_served(*client_, "c", 10);
  list_both_as(ListedStatus::Draining, ListedStatus::Removed);
  const int connection_count = agent().connection_count;
  const auto error = agent().listener.listen(address);
  ASSERT_FALSE(error) << error->message;
  agent().await_reconnection(connection_count);
  agent().accept_watch();
  agent().send_list(harness(), 45);
  removed().await_connections_closed();
  expect_gets_no_traffic(*client_, draining(), "r3-");
}

TEST_P(DiscoveryWatchDisruption, AppliesNewestList) {
  expect_indented_list_without_final_newline_applied();
  expect_older_list_ignored();
  expect_list_survives_broken_watches();
  expect_newer_list_applied();
  expect_changes_applied_after_agent_returns();
  harness().expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, DiscoveryWatch, postgres_only(), protocol_name);
INSTANTIATE_TEST_SUITE_P(, DiscoveryWatchDisruption, postgres_only(), protocol_name);

}  // namespace
