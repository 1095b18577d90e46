// Crossings: what comes between two steps of the gateway. The moment is held, by a peer that
// follows a script or by the program standing still, and let go by an event.
#include "check_macro.h"
#include "test_harness.h"

#include <csignal>
#include <cstring>

using namespace test_harness;
using namespace std::chrono_literals;

namespace {

// The gateway's loop has gone round, and read all that it reads: `client` was declined so often
// since.
void loop_goes_round(TestClient& client, const std::string& name) {
  for (int i = 0; i < 40; ++i)
    CHECK(client.send_and_await({name + std::to_string(i), "unheard-of", "", 2000, false}) ==
          ClientResult::Failed);
}

// Members whose connections are gone, and come up only when told to; what is asked waits for one of
// them.
void hold_greetings(GatewayHarness& harness) {
  for (const auto& endpoint : harness.endpoints)
    endpoint->holds_greetings = true, endpoint->close_connections();
}

StubEndpoint& awaited(GatewayHarness& harness) {
  StubEndpoint* found = nullptr;
  wait_until(
      [&] {
        for (const auto& endpoint : harness.endpoints)
          if (endpoint->held_greeting_count() > 0)
            found = endpoint.get();
        return found != nullptr;
      },
      "a connection to wait for its greeting");
  return *found;
}

void give_greetings(GatewayHarness& harness) {
  for (const auto& endpoint : harness.endpoints)
    endpoint->release_greetings();
}

// A request's connection comes up only after its member was told to leave: nothing is written to
// it, and the request goes to another. The same for a write that has its primary to go to and no
// other: it ends in time, unsent.
void late_connection(const Protocol& protocol) {
  for (const bool write : {false, true}) {
    GatewayHarness harness(protocol, 3, 0);
    harness.set_platform_settings({20'000});
    harness.start();
    const auto client = harness.connect_client();
    expect_reads_served(*client, "a", 12);
    hold_greetings(harness);
    client->send_request(write ? keyed_write("late") : read_request("late"));
    StubEndpoint& leaving = awaited(harness);
    leaving.listed_status = ListedStatus::Draining;
    harness.publish_inventory();
    const int before = leaving.request_count;
    give_greetings(harness);
    CHECK(client->await_response() == (write ? ClientResult::Rejected : ClientResult::Served));
    CHECK(leaving.request_count == before);
    CHECK(write || harness.attempt_count("late") == 1);
    harness.expect_invariants_and_running();
  }
}

// A client leaves while its request waits for a connection: seen at once, and nothing of it is sent
// on, whatever lies behind the request and however the client left.
void client_leaves(const Protocol& protocol) {
  for (const std::size_t behind : {0, 20'000, 300'000}) {
    for (const bool half : {false, true}) {
      GatewayHarness harness(protocol, 2, 0);
      harness.set_platform_settings({20'000});
      harness.start();
      const auto client = harness.connect_client();
      expect_reads_served(*client, "a", 8);
      hold_greetings(harness);
      const auto leaver = harness.connect_client();
      std::string bytes = protocol.encode_request(read_request("left-0"));
      for (int i = 1; bytes.size() < behind; ++i)
        bytes += protocol.encode_request(read_request("left-" + std::to_string(i)));
      leaver->write(bytes);
      awaited(harness);
      wait_until(
          [&] {
            return leaver->is_flushed();
          },
          "all to be written");
      half ? leaver->shut_down_writing() : leaver->close();
      if (half)
        wait_until(
            [&] {
              return leaver->closed_by_gateway;
            },
            "the gateway to end its side");
      else
        loop_goes_round(*client, "u");
      give_greetings(harness);
      expect_reads_served(*client, "b", 12);
      for (const auto& a : harness.attempts)
        CHECK(a.request.id.compare(0, 5, "left-") != 0);
      CHECK(leaver->responses.empty());
      harness.expect_invariants_and_running();
    }
  }
}

// After SIGTERM the door is closed: what comes on a connection that is still open for a request in
// hand is refused and not sent on. Neither a second SIGTERM nor SIGHUP opens it again. What was in
// hand has its answer, and the program ends.
void door_closed(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  harness.start();
  const auto client = harness.connect_client(), resting = harness.connect_client();
  CHECK(client->send_and_await(read_request("before")) == ClientResult::Served &&
        resting->send_and_await(read_request("rests")) == ClientResult::Served);
  harness.script = {ScriptedResponse::NoResponse};
  client->send_request(read_request("in-hand", 2500));
  wait_until(
      [&] {
        return harness.attempt_count("in-hand") == 1;
      },
      "the request to go out");
  harness.gateway.send_signal(SIGTERM);
  wait_until(
      [&] {
        return resting->closed_by_gateway;
      },
      "the door to be closed");
  CHECK(resting->close_reason == "closed by the peer");
  harness.gateway.send_signal(SIGTERM);
  harness.gateway.send_signal(SIGHUP);
  harness.gateway.await_log("reload_rejected error=\"this gateway is stopping\"");
  const auto refused = harness.connect_silent_client();
  wait_until(
      [&] {
        return refused->closed_by_gateway;
      },
      "a new connection to be refused");
  client->send_request(read_request("late"));
  CHECK(client->await_response() == ClientResult::Rejected &&
        client->await_response() == ClientResult::Rejected);
  CHECK(harness.attempt_count("late") == 0);
  CHECK(harness.gateway.await_exit_code() == 0 && client->close_reason == "closed by the peer");
  harness.expect_invariants();
}

// A repeat's connection comes up only after its member was told to leave: the repeat goes to one
// that stays.
void late_repeat(const Protocol& protocol) {
  GatewayHarness harness(protocol, 4, 0);
  harness.set_platform_settings({20'000});
  harness.start();
  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 12);
  hold_greetings(harness);
  client->send_request(read_request("again"));
  StubEndpoint& first = awaited(harness);
  first.release_greetings();
  harness.script = {ScriptedResponse::ResetConnection};
  wait_until(
      [&] {
        return harness.attempt_count("again") == 1;
      },
      "the first attempt");
  StubEndpoint& second = awaited(harness);
  CHECK(&second != &first);
  second.listed_status = ListedStatus::Draining;
  harness.publish_inventory();
  const int before = second.request_count;
  give_greetings(harness);
  CHECK(client->await_response() == ClientResult::Served);
  CHECK(second.request_count == before && harness.attempt_count("again") == 2);
  harness.expect_invariants_and_running();
}

// A probe's connection comes up only after its member was told to leave: the probe is not written.
void late_probe(const Protocol& protocol) {
  GatewayHarness harness(protocol, 3, 0);
  harness.set_platform_settings({20'000});
  for (const auto& endpoint : harness.endpoints)
    endpoint->holds_greetings = true;
  harness.start();  // and asks each member who it is
  for (const auto& endpoint : harness.endpoints)
    wait_until(
        [&] {
          return endpoint->held_greeting_count() == 1;
        },
        "the first probes' connections");
  harness.endpoints[1]->listed_status = ListedStatus::Draining;
  harness.publish_inventory();
  give_greetings(harness);
  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 12);
  wait_until(
      [&] {
        return harness.endpoints[0]->health_check_count > 0 &&
               harness.endpoints[2]->health_check_count > 0;
      },
      "the others' probes");
  CHECK(harness.endpoints[1]->health_check_count == 0 && harness.endpoints[1]->request_count == 0);
  harness.expect_invariants_and_running();
}

// A connection comes up only after its request has ended: the request has had its one answer,
// nothing of it is written, and the connection serves whoever comes next or is closed.
void late_dial(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  harness.set_platform_settings({20'000});
  harness.start();
  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 8);
  hold_greetings(harness);
  client->send_request(read_request("over", 300));
  awaited(harness);
  CHECK(client->await_response() == ClientResult::Rejected);
  give_greetings(harness);
  expect_reads_served(*client, "b", 12);
  CHECK(harness.attempt_count("over") == 0);
  harness.expect_invariants_and_running();
}

// A write that may have run is due again, and its connection comes up only after its group no
// longer drops repeats: it is not written, and its client hears so then, not when its time is over.
void short_window(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  PlatformSettings settings{20'000};
  settings.deduplication_window_ms = 150;
  settings.latency_objective_ms =
      60'000;  // longer than any wait for an event here: an answer at its end would come too late
  harness.set_platform_settings(settings);
  harness.start();
  const auto client = harness.connect_client();
  for (int i = 0; i < 12; ++i)
    CHECK(client->send_and_await(keyed_write("w" + std::to_string(i))) == ClientResult::Served);
  harness.script = {ScriptedResponse::NoResponse};
  Request write = keyed_write("keyed");
  write.timeout_ms = 60'000;
  client->send_request(write);
  wait_until(
      [&] {
        return harness.attempt_count("keyed") == 1;
      },
      "the write to go out");
  hold_greetings(harness);  // the attempt ends as a reset; the next one's connection comes up when
                            // it is told to
  awaited(harness);
  run_main_loop_for(2 * std::chrono::milliseconds(settings.deduplication_window_ms));
  give_greetings(harness);
  CHECK(client->await_response() == ClientResult::Failed);
  CHECK(harness.attempt_count("keyed") == 1);
  harness.expect_invariants_and_running();
}

// A client leaves while its request waits for a member to be there at all, before its first attempt
// or before a repeat: once there is one, the request is not sent on.
void waiting_leaves(const Protocol& protocol) {
  for (const bool repeat : {false, true}) {
    GatewayHarness harness(protocol, 2, 0);
    harness.start();
    const auto client = harness.connect_client(), leaver = harness.connect_client();
    expect_reads_served(*client, "a", 8);
    if (repeat) {
      harness.script = {ScriptedResponse::NoResponse};
      leaver->send_request(read_request("left-0"));
      wait_until(
          [&] {
            return harness.attempt_count("left-0") == 1;
          },
          "the first attempt");
    }
    for (const auto& endpoint : harness.endpoints)
      endpoint->listed_status = ListedStatus::Draining;
    harness.publish_inventory();
    if (repeat)
      for (const auto& endpoint : harness.endpoints)
        endpoint->close_connections();
    else
      leaver->send_request(read_request("left-0"));
    loop_goes_round(*client, "u");  // it waits
    CHECK(leaver->responses.empty());
    leaver->close();
    loop_goes_round(*client, "v");
    for (const auto& endpoint : harness.endpoints)
      endpoint->listed_status = ListedStatus::Up;
    harness.publish_inventory();
    expect_reads_served(*client, "b", 12);
    CHECK(harness.attempt_count("left-0") == repeat);
    harness.sent_requests.erase("left-0");
    if (repeat)
      harness.sent_requests["left-0"] = 0;
    harness.expect_invariants_and_running();
  }
}

// Clients leave in a burst, most with a request that waits for a connection, some with half a one
// or with many behind it: nothing of theirs is sent on, and those who come next find room.
void burst_leaves(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  harness.set_platform_settings({20'000});
  harness.start();
  const auto usual = harness.connect_client();
  expect_reads_served(*usual, "a", 8);
  for (int round = 0; round < 4; ++round) {  // together more than may connect
    hold_greetings(harness);
    std::vector<std::unique_ptr<TestClient>> burst;
    for (int i = 0; i < 60; ++i) {
      std::string bytes =
          protocol.encode_request(read_request("left-" + std::to_string(round * 1000 + i)));
      if (i % 10 == 1)
        bytes.resize(bytes.size() / 2);
      if (i % 10 == 2)
        bytes.append(100'000, 'x');
      burst.push_back(harness.connect_client());
      burst.back()->write(bytes);
    }
    awaited(harness);
    for (const auto& one : burst)
      wait_until(
          [&] {
            return one->is_flushed();
          },
          "all to be written");
    loop_goes_round(*usual, "u" + std::to_string(round) + "-");
    for (const auto& one : burst)
      CHECK(one->responses.empty() && !one->closed_by_gateway);
    for (const auto& one : burst)
      one->close();
    loop_goes_round(*usual, "v" + std::to_string(round) + "-");
    give_greetings(harness);
    expect_reads_served(*usual, "b" + std::to_string(round) + "-", 12);
  }
  for (const auto& a : harness.attempts)
    CHECK(a.request.id.compare(0, 5, "left-") != 0);
  std::vector<std::unique_ptr<TestClient>> next;
  for (int i = 0; i < 60; ++i) {
    next.push_back(harness.connect_client());
    expect_reads_served(*next.back(), "n" + std::to_string(i) + "-", 1);
  }
  harness.expect_invariants_and_running();
}

// Bytes nobody asked for on a resting connection, a whole message or half of one: never taken for
// an answer.
void resting_bytes(const Protocol& protocol) {
  for (const bool half : {false, true}) {
    GatewayHarness harness(protocol, 2, 0);
    harness.start();
    const auto client = harness.connect_client();
    expect_reads_served(*client, "a", 12);
    const std::string notice = protocol.encode_unsolicited_message();
    for (int round = 0; round < 5; ++round) {
      harness.gateway.freeze();  // so that the bytes are there when the next request is
      for (const auto& endpoint : harness.endpoints)
        endpoint->send_unsolicited(half ? notice.substr(0, notice.size() / 2) : notice);
      const std::string id = "b" + std::to_string(round);
      client->send_request(round % 2 ? read_request(id)
                                     : Request{id, "once", "key", 2500,
                                               true});  // served, as it met no broken connection
      wait_until(
          [&] {
            return client->is_flushed();
          },
          "the request to be written");
      harness.gateway.resume();
      CHECK(client->await_response() == ClientResult::Served &&
            client->last_value.compare(0, 4, "by m") == 0);
    }
    harness.expect_invariants_and_running();
  }
}

// A member's answer does not end: its attempt does, and the next one's answer is the client's.
void endless(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  harness.start();
  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 12);
  harness.script = {ScriptedResponse::UnboundedResponse};
  CHECK(client->send_and_await(read_request("endless")) == ClientResult::Served);
  CHECK(client->last_value.compare(0, 4, "by m") == 0 && harness.attempt_count("endless") == 2);
  harness.script = {ScriptedResponse::UnboundedResponse};
  CHECK(client->send_and_await({"once", "once", "key", 2500, true}) == ClientResult::Failed);
  expect_reads_served(*client, "b", 8);
  harness.expect_invariants_and_running();
}

// The door closes while a resting client's request and a new client's connection are already with
// the kernel: both get an answer, served or refused. Held by the program standing still until the
// door is due.
void bytes_at_the_door(const Protocol& protocol) {
  bool crossed = false;
  for (int round = 0; !crossed; ++round) {
    CHECK(round < 20);
    GatewayHarness harness(protocol, 2, 0);
    harness.start();
    const auto resting = harness.connect_client(), silent = harness.connect_client();
    expect_reads_served(*resting, "a", 4);
    expect_reads_served(*silent, "b", 1);
    harness.gateway.send_signal(SIGTERM);
    harness.gateway.await_log("shutdown_started");
    harness.gateway.freeze();
    run_main_loop_for(600ms);  // the door is due
    resting->send_request(read_request("resting"));
    const auto fresh = harness.connect_client();
    fresh->send_request(read_request("fresh"));
    wait_until(
        [&] {
          return resting->is_flushed() && fresh->is_flushed();
        },
        "both to be written");
    crossed = !resting->closed_by_gateway &&
              !fresh->closed_by_gateway;  // else the door was faster on a busy machine
    harness.gateway.resume();
    if (crossed)
      for (TestClient* client : {resting.get(), fresh.get()}) {
        const ClientResult final = client->await_response();
        CHECK(final == ClientResult::Served || final == ClientResult::Rejected);
        CHECK(final == ClientResult::Served ||
              harness.attempt_count(client == fresh.get() ? "fresh" : "resting") == 0);
      }
    CHECK(harness.gateway.await_exit_code() == 0);
    CHECK(silent->close_reason == "closed by the peer");
    if (crossed)
      harness.expect_invariants();
  }
}

// The end comes while answers are half written, as their client reads nothing: it waits for the
// client, and what was asked behind them and not begun is refused in words. Then the program starts
// again at once where it listened.
void half_written(const Protocol& protocol) {
  constexpr int kAsked = 160;  // far more than the kernel holds of such answers
  GatewayHarness harness(protocol, 2, 0);
  harness.start();
  PlatformSettings settings;
  settings.listen_address = harness.address();
  auto slow = harness.connect_client();
  const auto resting = harness.connect_client();
  expect_reads_served(*resting, "a", 4);
  for (const auto& endpoint : harness.endpoints)
    endpoint->min_value_bytes = 60'000;
  slow->pause_reading();
  for (int i = 0; i < kAsked; ++i)
    slow->send_request(read_request("slow" + std::to_string(i)));
  wait_until(
      [&] {
        return harness.attempt_count("slow0") == 1;
      },
      "the first to go out");
  harness.gateway.send_signal(SIGTERM);
  wait_until(
      [&] {
        return resting->closed_by_gateway;
      },
      "the door to be closed");
  CHECK(harness.attempt_count("slow" + std::to_string(kAsked - 1)) == 0 &&
        harness.gateway.is_running());
  slow->resume_reading();
  int served = 0, refused = 0;
  for (int i = 0; i < kAsked; ++i) {
    const ClientResult final = slow->await_response();
    CHECK(final == ClientResult::Served ? refused == 0 : final == ClientResult::Rejected);
    ++(final == ClientResult::Served ? served : refused);
  }
  CHECK(served > 0 && refused > 0);
  CHECK(harness.gateway.await_exit_code() == 0 && slow->close_reason == "closed by the peer");
  for (const auto& endpoint : harness.endpoints)
    endpoint->min_value_bytes = 0;
  if (&protocol == &postgres()) {  // the platform's front keeps its address
    harness.set_platform_settings(settings);
    harness.start();
    CHECK(harness.address() == settings.listen_address);
    expect_reads_served(*harness.connect_client(), "again", 8);
  }
  harness.expect_invariants();
}

// The list on the watch: indented, without a length and ended by nothing; an old one after a new
// one, on the same watch or on the next; cut by a reset in its midst; a chunk whose size does not
// end; one told while the agent was away. Whoever was told to leave gets nothing from then on.
void lists(const Protocol& protocol) {
  GatewayHarness harness(protocol, 3, 0);
  DiscoveryAgent agent;
  harness.use_discovery(agent.listener.address());
  harness.start();
  const auto client = harness.connect_client();
  int round = 0;
  const auto left_alone = [&](std::size_t leaving) {
    StubEndpoint& member = *harness.endpoints[leaving];
    const int requests = member.request_count, probes = member.health_check_count;
    expect_reads_served(*client, "r" + std::to_string(round++) + "-", 30);
    CHECK(member.request_count == requests && member.health_check_count == probes);
  };
  const auto breaks = [&](const std::function<void()>& how, const char* from) {
    const int calls = agent.connection_count;
    how();
    wait_until(
        [&] {
          return agent.connection_count > calls;
        },
        "the watch to be opened again");
    agent.await_watch_request();
    CHECK(agent.received_request.find(from) != std::string::npos);
  };
  // What was told is taken once the connections to one that is gone are closed: a change that shows
  // from outside.
  const auto taken = [&](std::size_t gone) {
    wait_until(
        [&] {
          return harness.endpoints[gone]->open_connection_count() == 0;
        },
        "the list to be taken");
  };

  agent.await_watch_request();
  std::string indented = DiscoveryAgent::encode_list(harness, 41);
  indented.pop_back();  // no line end
  for (std::size_t at = 0; (at = indented.find_first_of(",[{", at)) != std::string::npos; at += 4)
    indented.insert(at + 1, "\n  ");
  agent.stream->write({"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", indented});
  expect_reads_served(*client, "a", 30);
  CHECK(harness.endpoints[1]->request_count > 0 &&
        harness.endpoints[2]->request_count > 0);  // the replicas

  // m1 drains, and the list with m2 gone tells that it is taken; then an older list that names both
  // as up.
  const std::string old = DiscoveryAgent::encode_list(harness, 42);
  harness.endpoints[1]->listed_status = ListedStatus::Draining,
  harness.endpoints[2]->listed_status = ListedStatus::Removed;
  agent.stream->write({"\n", DiscoveryAgent::encode_list(harness, 43), old});
  taken(2);
  left_alone(1);
  left_alone(2);
  // The connection is reset in the midst of a list, which is none; the next watch begins with the
  // old one, as from an agent that is behind.
  breaks(
      [&] {
        agent.stream->write({old.substr(0, old.size() - 20)}), agent.reset_connection();
      },
      "from=43 ");
  agent.stream->write({"HTTP/1.1 200 OK\r\n\r\n", old});
  left_alone(1);
  breaks(
      [&] {
        agent.reset_connection();
      },
      "from=42 ");
  agent.stream->write({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"});
  breaks(
      [&] {
        agent.stream->write({std::string(100, '1')});
      },
      "from=42 ");
  harness.gateway.await_log("endpoint_watch_closed reason=\"a malformed chunk\"");
  agent.stream->write({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"});
  harness.endpoints[1]->listed_status = harness.endpoints[2]->listed_status =
      ListedStatus::Up;  // a later word
  agent.send_list(harness, 44);
  const int before = harness.endpoints[1]->request_count;
  while (harness.endpoints[1]->request_count == before)
    expect_reads_served(*client, "b" + std::to_string(round++) + "-", 1);

  // The agent goes away, and what changes meanwhile is told at once when it is back.
  const std::string address = agent.listener.address();
  agent.listener.close();
  agent.reset_connection();
  expect_reads_served(*client, "c", 10);
  harness.endpoints[1]->listed_status = ListedStatus::Draining,
  harness.endpoints[2]->listed_status = ListedStatus::Removed;
  const int calls = agent.connection_count;
  std::string why;
  CHECK(agent.listener.listen(address, why));
  wait_until(
      [&] {
        return agent.connection_count > calls;
      },
      "the watch to be opened again");
  agent.accept_watch();
  agent.send_list(harness, 45);
  taken(2);
  left_alone(1);
  harness.expect_invariants_and_running();
}

}  // namespace

int main(int, char** arguments) {
  const std::map<std::string, void (*)(const Protocol&)> stories{
      {"late_connection", late_connection}, {"late_repeat", late_repeat},
      {"late_probe", late_probe},           {"late_dial", late_dial},
      {"short_window", short_window},       {"client_leaves", client_leaves},
      {"waiting_leaves", waiting_leaves},   {"burst_leaves", burst_leaves},
      {"resting_bytes", resting_bytes},     {"endless", endless},
      {"door_closed", door_closed},         {"bytes_at_the_door", bytes_at_the_door},
      {"half_written", half_written},       {"lists", lists}};
  const auto story = stories.find(arguments[1]);
  CHECK(story != stories.end());
  story->second(std::strcmp(arguments[2], "mongo") == 0 ? mongo() : postgres());
  std::printf("%s on %s: fine\n", arguments[1], arguments[2]);
}
