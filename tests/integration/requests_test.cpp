// The stories: each protocol goes through the same ones, by the same script, and under the same
// rules.
#include "check_macro.h"
#include "test_harness.h"

#include <csignal>
#include <cstring>

using namespace test_harness;
using namespace std::chrono_literals;

namespace {

constexpr int kSome = -1;  // as many attempts as it takes, within the rules

// One shared script of faults: what became of each request must be the same whatever the wire.
void faults(const Protocol& protocol) {
  struct Line {
    Request ask;
    std::vector<ScriptedResponse> script;
    ClientResult final;
    int attempts;
  };

  const Line lines[] = {
      {read_request("plain"), {ScriptedResponse::Succeed}, ClientResult::Served, 1},
      {read_request("full"),
       {ScriptedResponse::RejectOverloaded, ScriptedResponse::Succeed},
       ClientResult::Served,
       2},
      {keyed_write("keyed-full"),
       {ScriptedResponse::RejectOverloaded, ScriptedResponse::Succeed},
       ClientResult::Served,
       2},
      {{"once-full", "once", "key", 2500, true},
       {ScriptedResponse::RejectOverloaded, ScriptedResponse::Succeed},
       ClientResult::Served,
       2},
      {read_request("error"),
       {ScriptedResponse::Fail, ScriptedResponse::Succeed},
       ClientResult::Served,
       2},
      {{"once-error", "once", "key", 2500, true},
       {ScriptedResponse::Fail},
       ClientResult::Failed,
       1},
      {read_request("garbage"),
       {ScriptedResponse::Garbage, ScriptedResponse::Succeed},
       ClientResult::Served,
       2},
      {read_request("short"),
       {ScriptedResponse::Truncated, ScriptedResponse::Succeed},
       ClientResult::Served,
       2},
      {read_request("huge"),
       {ScriptedResponse::OversizedLength, ScriptedResponse::Succeed},
       ClientResult::Served,
       2},
      {keyed_write("keyed-short"),
       {ScriptedResponse::Truncated, ScriptedResponse::Succeed},
       ClientResult::Served,
       2},
      {{"once-huge", "once", "key", 2500, true},
       {ScriptedResponse::OversizedLength},
       ClientResult::Failed,
       1},
      {read_request("copied"), {ScriptedResponse::Duplicate}, ClientResult::Served, 1},
      {read_request("bad-report"), {ScriptedResponse::MalformedReport}, ClientResult::Served, 1},
      {read_request("reset"),
       {ScriptedResponse::ResetConnection, ScriptedResponse::Succeed},
       ClientResult::Served,
       2},
      // A silent member: no second attempt while the first is out; refused at the end, as a read is
      // harmless.
      {read_request("silent", 400), {ScriptedResponse::NoResponse}, ClientResult::Rejected, 1},
      // The primary breaks one connection and lives on: the write comes back to it, over replicas
      // or not; one that may not be repeated ends as failed.
      {keyed_write("keyed-reset"),
       {ScriptedResponse::ResetConnection, ScriptedResponse::Succeed},
       ClientResult::Served,
       kSome},
      {{"once-reset", "once", "key", 2500, true},
       {ScriptedResponse::ResetConnection},
       ClientResult::Failed,
       1},
  };
  for (const Line& line : lines) {
    GatewayHarness harness(protocol, 3, 0);
    harness.start();
    const auto client = harness.connect_client();
    // So many good answers first that one bad one does not count as a crowd: what follows is the
    // same every time.
    for (int i = 0; i < 12; ++i) {
      CHECK(client->send_and_await(read_request("r" + std::to_string(i))) == ClientResult::Served);
      CHECK(client->send_and_await(keyed_write("w" + std::to_string(i))) == ClientResult::Served);
      CHECK(client->last_value == "by m0");
    }
    harness.script.assign(line.script.begin(), line.script.end());
    const ClientResult final = client->send_and_await(line.ask);
    const bool as_told =
        line.attempts == kSome || harness.attempt_count(line.ask.id) == line.attempts;
    if (final != line.final || !as_told)
      std::fprintf(stderr, "%s: %s: final %d, %d attempts\n", protocol.name(), line.ask.id.c_str(),
                   static_cast<int>(final), harness.attempt_count(line.ask.id));
    CHECK(final == line.final);
    CHECK(as_told);
    for (int i = 0; i < 8; ++i) {  // whatever came behind an answer is nobody's
      CHECK(client->send_and_await(read_request("after" + std::to_string(i))) ==
            ClientResult::Served);
      CHECK(client->last_value.substr(0, 4) == "by m");
    }
    CHECK(client->responses.empty());
    for (const auto& a : harness.attempts)
      CHECK(a.request.timeout_ms > 0 && a.request.timeout_ms <= 2500);
    harness.expect_invariants_and_running();
  }
}

// The hard case: a write with its key goes to the member listed as primary, which is a replica by
// now and turns it away. It must reach the real primary, under the same key, and be answered once.
void turned_away(const Protocol& protocol) {
  GatewayHarness harness(protocol, 3, 2);
  harness.start();
  const auto client = harness.connect_client();
  CHECK(client->send_and_await(keyed_write("w1")) == ClientResult::Served);
  CHECK(client->last_value == "by m2");
  CHECK(harness.attempts.back().endpoint == harness.endpoints[2].get() &&
        harness.attempts.back().request.idempotency_key == "key-w1");
  const int before = harness.endpoints[2]->request_count;
  CHECK(client->send_and_await(keyed_write("w2")) == ClientResult::Served);
  CHECK(harness.endpoints[2]->request_count == before + 1 &&
        harness.attempt_count("w2") == 1);  // learnt
  harness.expect_invariants_and_running();
}

// A session's write is out, or broke: its member may have done it. The session's reads go where
// that would be seen, and to no replica that lags, though nothing was told of the write yet.
void own_writes(const Protocol& protocol) {
  GatewayHarness harness(protocol, 3, 0);
  harness.start();
  const auto client = harness.connect_client(), writer = harness.connect_client();
  const auto session = [](const std::string& id) {
    return Request{id, "session", "", 2000, false};
  };
  for (int i = 0; i < 12; ++i) {  // so many good answers that one that does not come is no crowd
    CHECK(client->send_and_await(keyed_write("w" + std::to_string(i))) == ClientResult::Served);
    CHECK(client->send_and_await(session("s" + std::to_string(i))) == ClientResult::Served);
  }
  do  // until a replica is known to hold all that was written so far; it gets no more
    CHECK(client->send_and_await(session("t" + std::to_string(harness.attempts.size()))) ==
          ClientResult::Served);
  while (client->last_value == "by m0");
  harness.endpoints[1]->replication.lag_ms = harness.endpoints[2]->replication.lag_ms = 60'000;
  harness.script = {ScriptedResponse::NoResponse};
  writer->send_request({"out", "once", "key-out", 700, true});
  wait_until(
      [&] {
        return harness.attempt_count("out") == 1;
      },
      "the write to go out");
  run_main_loop_for(120ms);  // an answer to it would count as known by now
  CHECK(client->send_and_await(session("while-out")) == ClientResult::Served &&
        client->last_value == "by m0");
  CHECK(writer->await_response() == ClientResult::Failed);
  CHECK(client->send_and_await(session("after")) == ClientResult::Served &&
        client->last_value == "by m0");
  harness.expect_invariants_and_running();
}

// A member that is told to drain gets nothing new after 250 ms; what was asked meanwhile is served
// elsewhere.
void drains(const Protocol& protocol) {
  GatewayHarness harness(protocol, 3, 0);
  harness.start();
  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 20);
  harness.endpoints[1]->listed_status = ListedStatus::Draining;
  harness.publish_inventory();
  const int before = harness.endpoints[1]->request_count;
  expect_reads_served(*client, "b", 40);
  CHECK(harness.endpoints[1]->request_count == before);
  // Left out of the list, it is gone: its idle connections are closed, not kept until they grow
  // old.
  harness.endpoints[1]->listed_status = ListedStatus::Removed;
  harness.publish_inventory();
  wait_until(
      [&] {
        return harness.endpoints[1]->open_connection_count() == 0;
      },
      "the connections to one that is gone to be closed");
  harness.expect_invariants_and_running();
}

// A member dies: its connections reset and new ones are refused. Reads go on, each with one answer.
void dies(const Protocol& protocol) {
  GatewayHarness harness(protocol, 3, 0);
  harness.start();
  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 12);
  harness.endpoints[1]->shut_down();
  expect_reads_served(*client, "b", 24);
  harness.expect_invariants_and_running();
}

// Members forget connections that rested, long before the settings say, and reset them at the next
// message. All is served, and after a few breaks such connections are replaced instead of used.
void rests(const Protocol& protocol) {
  GatewayHarness harness(protocol, 3, 0);
  harness.start();
  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 12);
  for (const auto& endpoint : harness.endpoints)
    endpoint->idle_reset_ms = 40;
  for (int i = 0; i < 60; ++i) {
    run_main_loop_for(60ms);
    expect_reads_served(*client, "b" + std::to_string(i) + "-", 1);
  }
  int forgotten = 0;
  for (const auto& endpoint : harness.endpoints)
    forgotten += endpoint->idle_reset_count;
  CHECK(forgotten > 0 &&
        forgotten <=
            30);  // eight tell, in each span of rests that a busy machine may make of these
  harness.expect_invariants_and_running();
}

// Whatever a client sends ends at its own connection.
void bad_input(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  harness.start();
  const auto good = harness.connect_client();
  CHECK(good->send_and_await(read_request("first")) == ClientResult::Served);
  const std::string hello = protocol.client_greeting();
  const std::string whole = protocol.encode_request(read_request("cut"));
  std::vector<std::string> inputs{std::string(64, '\xff'), hello + std::string(64, '\xff'),
                                  std::string(64, '\0')};
  for (std::size_t at = 0; at < whole.size(); at += 3) {  // one byte off, anywhere
    std::string bent = whole;
    bent[at] = static_cast<char>(bent[at] ^ 0x55);
    inputs.push_back(hello + bent);
  }
  for (const std::string& input : inputs) {
    const auto bad = harness.connect_client();
    bad->write(input);
    run_main_loop_for(1ms);
    bad->close();
  }
  const auto oversized = harness.connect_client();
  oversized->write(protocol.encode_request({"big", "any", "", 2000, false}).substr(0, 1) +
                   std::string(1 << 20, 'x'));
  wait_until(
      [&] {
        return oversized->closed_by_gateway;
      },
      "an oversized message to be turned away");
  // A class that is not known, and a write under a class for reads: declined in words, and the
  // connection goes on.
  const auto client = harness.connect_client();
  CHECK(client->send_and_await({"u", "unheard-of", "", 2000, false}) == ClientResult::Failed);
  CHECK(client->send_and_await({"v", "any", "k", 2000, true}) == ClientResult::Failed);
  CHECK(client->send_and_await(read_request("same-connection")) == ClientResult::Served);
  CHECK(good->send_and_await(read_request("last")) == ClientResult::Served);
  harness.sent_requests["cut"] = 1;
  CHECK(harness.gateway.is_running());
}

// Clients that say nothing, half of something, ask once and stay, or write hundreds of commands:
// each is answered or closed in time, and the usual ones are served meanwhile.
void crowds(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  harness.start();
  const auto usual = harness.connect_client();
  CHECK(usual->send_and_await(read_request("usual")) == ClientResult::Served);
  const std::string half = protocol.encode_request(read_request("half")).substr(0, 30);
  std::vector<std::unique_ptr<TestClient>> crowd;
  for (int i = 0; i < 250; ++i) {
    crowd.push_back(harness.connect_silent_client());  // says nothing
    if (i % 10 != 9)
      continue;
    crowd.push_back(harness.connect_client());  // half a command
    crowd.back()->write(half);
  }
  for (int served = 0; served < 10;) {  // meanwhile: connections are free for those that ask
    const auto client = harness.connect_client();
    const Request question = read_request("new" + std::to_string(served));
    client->send_request(question);
    wait_until(
        [&] {
          return !client->responses.empty() || client->closed_by_gateway;
        },
        "an answer, or the door");
    // Turned away, it comes again, as clients do: on a starved machine its greeting may come late.
    const bool turned_away =
        client->responses.empty() || client->responses.front() != ClientResult::Served;
    if (turned_away)
      --harness.sent_requests[question.id],
          harness.response_count -= static_cast<int>(client->responses.size());
    served += !turned_away;
  }
  for (const auto& one : crowd)
    wait_until(
        [&] {
          return one->closed_by_gateway;
        },
        "the crowd to be closed");
  for (const auto& one : crowd)
    harness.response_count -= static_cast<int>(one->responses.size());  // they asked nothing
  crowd.clear();
  // The same again by clients that ask once and stay: after 2 s they make room.
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(harness.connect_client());
    CHECK(crowd.back()->send_and_await(read_request("stay" + std::to_string(i))) ==
          ClientResult::Served);
  }
  const auto open = [&crowd] {
    int count = 0;
    for (const auto& one : crowd)
      count += !one->closed_by_gateway;
    return count;
  };
  wait_until(
      [&] {
        return open() <= 45;
      },
      "those that stay to be closed");
  // An id that is open is not sent out beside itself, whoever asks; what is asked under another
  // name is served.
  const auto other = harness.connect_client(), bad = harness.connect_client();
  harness.script = {ScriptedResponse::NoResponse};
  other->send_request(read_request("open", 900));
  wait_until(
      [&] {
        return harness.attempt_count("open") == 1;
      },
      "the request to go out");
  CHECK(bad->send_and_await(read_request("open")) == ClientResult::Failed);
  for (int i = 0; i < 300; ++i)
    bad->send_request({"b" + std::to_string(i), "unheard-of", "", 2000, false});
  CHECK(bad->send_and_await(read_request("last")) == ClientResult::Failed);  // the first of them
  for (int i = 0; i < 299; ++i)
    CHECK(bad->await_response() == ClientResult::Failed);
  CHECK(bad->await_response() == ClientResult::Served);
  CHECK(other->await_response() == ClientResult::Rejected && harness.attempt_count("open") == 1);
  harness.expect_invariants_and_running();
}

// The last words of a closing reach a client that goes on writing: they are not lost to a reset.
void last_words(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  harness.start();
  const auto usual = harness.connect_client();
  CHECK(usual->send_and_await(read_request("usual")) == ClientResult::Served);
  for (int i = 0; i < 20; ++i) {  // more at once than may linger
    const auto client = harness.connect_client();
    client->write(std::string(
        64 * 1024, '\xff'));  // what follows the first of it is unread when it is turned down
    wait_until(
        [&] {
          return client->closed_by_gateway;
        },
        "the door");
    CHECK(client->close_reason == "closed by the peer");
    CHECK(client->unparsed_input.size() + client->responses.size() > 0);
    harness.response_count -= static_cast<int>(client->responses.size());  // it asked nothing
  }
  harness.expect_invariants_and_running();
}

// Requests written right behind the greeting, several at once: answered in order, one answer each.
void written_ahead(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  harness.start();
  const auto client = harness.connect_client();
  for (int i = 0; i < 10; ++i)
    client->send_request(read_request("p" + std::to_string(i)));
  for (int i = 0; i < 10; ++i)
    CHECK(client->await_response() == ClientResult::Served);
  CHECK(client->responses.empty());
  harness.expect_invariants_and_running();
}

// After SIGTERM connections go on coming for a while and are served; what is in hand is answered;
// then it ends.
void stops(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  harness.start();
  const auto client = harness.connect_client();
  CHECK(client->send_and_await(read_request("before")) == ClientResult::Served);
  harness.script = {ScriptedResponse::NoResponse};
  client->send_request(read_request("in-hand", 1200));
  wait_until(
      [&] {
        return !harness.attempts.empty() && harness.attempts.back().request.id == "in-hand";
      },
      "the request to go out");
  harness.gateway.send_signal(SIGTERM);
  run_main_loop_for(200ms);
  const auto late = harness.connect_client();
  CHECK(late->send_and_await(read_request("late")) == ClientResult::Served);
  CHECK(client->await_response() == ClientResult::Rejected);
  CHECK(harness.gateway.thread_count() ==
        1);  // where one thread runs at a time, a second may hold what the first waits for
  CHECK(harness.gateway.await_exit_code() == 0);
  CHECK(late->responses.empty() && client->responses.empty());
  harness.expect_invariants();
}

// A team's budget: beyond it refused at once; classes outside the contract are declined; strangers
// turned away.
void budgets(const Protocol& protocol) {
  GatewayHarness harness(
      protocol, 2, 0,
      "contracts { team { name: 'portal' budget { per_second: 0.01 burst: 3 } class { "
      "name: 'any' tries: 1 "
      "longest_wait_ms: 700 } } }");
  harness.start();
  const auto client = harness.connect_client();
  CHECK(client->send_and_await(read_request("one")) == ClientResult::Served);
  harness.script = {ScriptedResponse::Fail};
  CHECK(client->send_and_await(read_request("two")) ==
        ClientResult::Rejected);  // one attempt and no more, by the contract
  CHECK(harness.attempt_count("two") == 1);
  CHECK(client->send_and_await(keyed_write("not-theirs")) == ClientResult::Failed);
  CHECK(client->send_and_await(read_request("three")) == ClientResult::Served);
  CHECK(client->send_and_await(read_request("four")) == ClientResult::Rejected);
  CHECK(harness.attempt_count("four") == 0);
  for (const auto& a : harness.attempts)
    CHECK(a.request.timeout_ms <= 700);
  // Read again while a request is open: it ends by the terms that it began with; new ones come
  // under the new.
  const auto portal = [&](const char* terms) {
    harness.write_operator_file(std::string("contracts { team { name: 'portal' ") + terms + " } }");
    harness.publish_inventory();
  };
  portal("class { name: 'any' longest_wait_ms: 900 tries: 1 }");
  const auto waiting = harness.connect_client();
  CHECK(waiting->send_and_await(read_request("five")) ==
        ClientResult::Served);  // no budget any more
  harness.script = {ScriptedResponse::NoResponse};
  waiting->send_request(read_request("open"));
  wait_until(
      [&] {
        return harness.attempt_count("open") == 1;
      },
      "the request to go out");
  portal("class { name: 'save' }");
  CHECK(client->send_and_await(keyed_write("theirs-now")) == ClientResult::Served);
  CHECK(client->send_and_await(read_request("not-any-more")) == ClientResult::Failed);
  harness.write_operator_file("contracts { team { name: 'others' class { name: 'any' } } }");
  harness.publish_inventory();
  CHECK(client->send_and_await(keyed_write("no-contract")) == ClientResult::Failed);
  CHECK(waiting->await_response() ==
        ClientResult::Rejected);  // when its 900 ms were over, and once
  if (&protocol == &mongo()) {    // beside discovery's groups, which are not known beforehand
    portal("class { name: 'any' } group: 7");
    CHECK(client->send_and_await(read_request("other-group")) == ClientResult::Failed);
  }
  harness.expect_invariants_and_running();
}

// Statements are parsed where the file says so: what may write never goes out under a class that
// reads, whatever it calls itself; what is unknown goes out once under one that writes.
void shapes(const Protocol& protocol) {
  GatewayHarness harness(protocol, 3, 0, "shapes { postgres: true read_function: 'area_total' }");
  harness.start();
  const auto client = harness.connect_client();
  int number = 0;
  const auto ask = [&](const char* statement, const char* service_class = "any") {
    Request question = read_request("shape" + std::to_string(number++));
    question.statement = statement, question.service_class = service_class;
    question.is_write = std::strcmp(service_class, "any") != 0, question.idempotency_key = "key";
    return question;
  };
  for (const char* text :
       {"SELECT area_total(3), upper(data) FROM facts WHERE code = 'x; DELETE FROM facts'",
        "WITH recent AS (SELECT * FROM facts) SELECT count(*) FROM recent"})
    CHECK(client->send_and_await(ask(text)) == ClientResult::Served);
  for (const char* text :
       {"SELECT nextval('ids')", "SELECT other(3)", "SELECT data FROM facts FOR UPDATE",
        "WITH gone AS (DELETE FROM facts RETURNING *) SELECT * FROM gone",
        "SELECT data INTO copy FROM facts", "EXPLAIN ANALYZE DELETE FROM facts", "SELECT 'odd"}) {
    const Request question = ask(text);
    CHECK(client->send_and_await(question) == ClientResult::Failed &&
          harness.attempt_count(question.id) == 0);
  }
  const Request unknown = ask("INSERT INTO facts (code) VALUES (mystery())", "save");
  CHECK(client->send_and_await(unknown) != ClientResult::Failed);
  harness.script = {ScriptedResponse::RejectOverloaded};
  const Request once = ask("VACUUM_ODDLY", "save");  // cannot be parsed: one attempt and no more
  CHECK(client->send_and_await(once) == ClientResult::Rejected);
  CHECK(harness.attempt_count(once.id) == 1);
  harness.write_operator_file("");  // and off again
  harness.publish_inventory();
  CHECK(client->send_and_await(ask("SELECT other(3)")) == ClientResult::Served);
  harness.expect_invariants_and_running();
}

// The list comes by a watch; a change is heeded; a broken line, or a watch that broke or fell
// silent, is asked for again, and a list as held goes on meanwhile.
void discovery(const Protocol& protocol) {
  GatewayHarness harness(protocol, 3, 0);
  DiscoveryAgent agent;
  harness.use_discovery(agent.listener.address());
  harness.start();
  agent.accept_watch();
  CHECK(agent.received_request.compare(0, 35, "GET /api/targets?watch=1&from=0 HTT") == 0);
  agent.send_list(harness, 41);
  const auto client = harness.connect_client();
  expect_reads_served(*client, "a", 20);
  harness.endpoints[2]->listed_status = ListedStatus::Draining;
  agent.send_list(harness, 42);
  run_main_loop_for(250ms);
  const int before = harness.endpoints[2]->request_count;
  expect_reads_served(*client, "b", 40);
  CHECK(harness.endpoints[2]->request_count == before);
  const auto broken = agent.stream;
  agent.send_chunk("{\"revision\":43,\"members\":7}\n");
  wait_until(
      [&] {
        return agent.stream != broken;
      },
      "the watch to be opened again");
  agent.accept_watch();
  CHECK(agent.received_request.find("from=0 ") !=
        std::string::npos);  // what was missed is not known: everything, please
  agent.send_list(harness, 44);
  const auto silent = agent.stream;
  wait_until(
      [&] {
        return agent.stream != silent;
      },
      "the watch that fell silent to be opened again");
  agent.accept_watch();
  CHECK(agent.received_request.find("from=44 ") != std::string::npos);
  agent.stream->close();
  expect_reads_served(*client, "c", 10);
  harness.expect_invariants_and_running();
}

// SIGHUP under load: the new agent's list is followed without forgetting members, positions or what
// is in hand; a configuration that cannot be used changes nothing.
void reload(const Protocol& protocol) {
  GatewayHarness harness(protocol, 3, 0);
  DiscoveryAgent old, fresh;
  harness.use_discovery(old.listener.address());
  harness.start();
  old.accept_watch();
  old.send_list(harness, 41);
  const auto client = harness.connect_client(), waiting = harness.connect_client();
  expect_reads_served(*client, "a", 20);
  harness.script = {ScriptedResponse::NoResponse};
  waiting->send_request(read_request("in-hand", 1000));
  wait_until(
      [&] {
        return !harness.attempts.empty() && harness.attempts.back().request.id == "in-hand";
      },
      "it to go out");
  harness.reload("nowhere", "reload_rejected");
  CHECK(harness.gateway.log.find("config.json: line 1: ") != std::string::npos);
  CHECK(harness.gateway.log.find("'discovery'") != std::string::npos &&
        fresh.received_request.empty());
  harness.reload(fresh.listener.address(), "reload_complete");
  fresh.accept_watch();
  CHECK(fresh.received_request.find("from=0 ") !=
        std::string::npos);  // the old one's revision tells the new one nothing
  old.listener.close();
  harness.endpoints[2]->listed_status = ListedStatus::Draining;
  fresh.send_list(harness, 7);
  run_main_loop_for(250ms);
  const int before = harness.endpoints[2]->request_count;
  expect_reads_served(*client, "b", 40);
  CHECK(harness.endpoints[2]->request_count == before);
  CHECK(waiting->await_response() == ClientResult::Rejected);
  harness.expect_invariants_and_running();
}

}  // namespace

int main(int, char** arguments) {
  const std::map<std::string, void (*)(const Protocol&)> stories{{"faults", faults},
                                                                 {"turned_away", turned_away},
                                                                 {"own_writes", own_writes},
                                                                 {"drains", drains},
                                                                 {"dies", dies},
                                                                 {"rests", rests},
                                                                 {"bad_input", bad_input},
                                                                 {"written_ahead", written_ahead},
                                                                 {"crowds", crowds},
                                                                 {"last_words", last_words},
                                                                 {"stops", stops},
                                                                 {"budgets", budgets},
                                                                 {"shapes", shapes},
                                                                 {"discovery", discovery},
                                                                 {"reload", reload}};
  const auto story = stories.find(arguments[1]);
  CHECK(story != stories.end());
  story->second(std::strcmp(arguments[2], "mongo") == 0 ? mongo() : postgres());
  std::printf("%s on %s: fine\n", arguments[1], arguments[2]);
}
