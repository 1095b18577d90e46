// Crossings: what comes between two steps of the gateway. The moment is held, by a peer that
// follows a script or by the program standing still, and let go by an event.
#include "test_harness.h"

#include <csignal>
#include <cstring>

using namespace test_harness;

namespace {

// The gateway's loop has gone round, and read all that it reads: `client` was declined so often
// since.
void loop_goes_round(Client& client, const std::string& name) {
  for (int i = 0; i < 40; ++i)
    CHECK(client.answer_to({name + std::to_string(i), "unheard-of", "", 2000, false}) ==
          Final::Failed);
}

// Members whose connections are gone, and come up only when told to; what is asked waits for one of
// them.
void hold_greetings(Stage& stage) {
  for (const auto& member : stage.members)
    member->holds_greetings = true, member->drop_connections();
}

Member& awaited(Stage& stage) {
  Member* found = nullptr;
  until(
      [&] {
        for (const auto& member : stage.members)
          if (member->greetings_held() > 0)
            found = member.get();
        return found != nullptr;
      },
      "a connection to wait for its greeting");
  return *found;
}

void give_greetings(Stage& stage) {
  for (const auto& member : stage.members)
    member->give_greetings();
}

// A request's connection comes up only after its member was told to leave: nothing is written to
// it, and the request goes to another. The same for a write that has its primary to go to and no
// other: it ends in time, unsent.
void late_connection(const Protocol& protocol) {
  for (const bool write : {false, true}) {
    Stage stage(protocol, 3, 0);
    stage.set_site({20'000});
    stage.start();
    const auto client = stage.client();
    reads_served(*client, "a", 12);
    hold_greetings(stage);
    client->ask(write ? save("late") : read("late"));
    Member& leaving = awaited(stage);
    leaving.state = "draining";
    stage.write_inventory();
    const int before = leaving.requests;
    give_greetings(stage);
    CHECK(client->answer() == (write ? Final::Refused : Final::Served));
    CHECK(leaving.requests == before);
    CHECK(write || attempts_of(stage, "late") == 1);
    finish(stage);
  }
}

// A client leaves while its request waits for a connection: seen at once, and nothing of it is sent
// on, whatever lies behind the request and however the client left.
void client_leaves(const Protocol& protocol) {
  for (const std::size_t behind : {0, 20'000, 300'000}) {
    for (const bool half : {false, true}) {
      Stage stage(protocol, 2, 0);
      stage.set_site({20'000});
      stage.start();
      const auto client = stage.client();
      reads_served(*client, "a", 8);
      hold_greetings(stage);
      const auto leaver = stage.client();
      std::string bytes = protocol.client_ask(read("left-0"));
      for (int i = 1; bytes.size() < behind; ++i)
        bytes += protocol.client_ask(read("left-" + std::to_string(i)));
      leaver->write(bytes);
      awaited(stage);
      until(
          [&] {
            return leaver->flushed();
          },
          "all to be written");
      half ? leaver->half_close() : leaver->hang_up();
      if (half)
        until(
            [&] {
              return leaver->ended_by_gateway;
            },
            "the gateway to end its side");
      else
        loop_goes_round(*client, "u");
      give_greetings(stage);
      reads_served(*client, "b", 12);
      for (const auto& a : stage.attempts)
        CHECK(a.ask.id.compare(0, 5, "left-") != 0);
      CHECK(leaver->answers.empty());
      finish(stage);
    }
  }
}

// After SIGTERM the door is closed: what comes on a connection that is still open for a request in
// hand is refused and not sent on. Neither a second SIGTERM nor SIGHUP opens it again. What was in
// hand has its answer, and the program ends.
void door_closed(const Protocol& protocol) {
  Stage stage(protocol, 2, 0);
  stage.start();
  const auto client = stage.client(), resting = stage.client();
  CHECK(client->answer_to(read("before")) == Final::Served &&
        resting->answer_to(read("rests")) == Final::Served);
  stage.script = {Fault::Silent};
  client->ask(read("in-hand", 2500));
  until(
      [&] {
        return attempts_of(stage, "in-hand") == 1;
      },
      "the request to go out");
  stage.signal(SIGTERM);
  until(
      [&] {
        return resting->ended_by_gateway;
      },
      "the door to be closed");
  CHECK(resting->end == "closed by the peer");
  stage.signal(SIGTERM);
  stage.signal(SIGHUP);
  stage.await_log("reload_rejected error=\"this gateway is stopping\"");
  const auto refused = stage.stranger();
  until(
      [&] {
        return refused->ended_by_gateway;
      },
      "a new connection to be refused");
  client->ask(read("late"));
  CHECK(client->answer() == Final::Refused && client->answer() == Final::Refused);
  CHECK(attempts_of(stage, "late") == 0);
  CHECK(stage.exit_code() == 0 && client->end == "closed by the peer");
  stage.check_rules();
}

// A repeat's connection comes up only after its member was told to leave: the repeat goes to one
// that stays.
void late_repeat(const Protocol& protocol) {
  Stage stage(protocol, 4, 0);
  stage.set_site({20'000});
  stage.start();
  const auto client = stage.client();
  reads_served(*client, "a", 12);
  hold_greetings(stage);
  client->ask(read("again"));
  Member& first = awaited(stage);
  first.give_greetings();
  stage.script = {Fault::Reset};
  until(
      [&] {
        return attempts_of(stage, "again") == 1;
      },
      "the first attempt");
  Member& second = awaited(stage);
  CHECK(&second != &first);
  second.state = "draining";
  stage.write_inventory();
  const int before = second.requests;
  give_greetings(stage);
  CHECK(client->answer() == Final::Served);
  CHECK(second.requests == before && attempts_of(stage, "again") == 2);
  finish(stage);
}

// A probe's connection comes up only after its member was told to leave: the probe is not written.
void late_probe(const Protocol& protocol) {
  Stage stage(protocol, 3, 0);
  stage.set_site({20'000});
  for (const auto& member : stage.members)
    member->holds_greetings = true;
  stage.start();  // and asks each member who it is
  for (const auto& member : stage.members)
    until(
        [&] {
          return member->greetings_held() == 1;
        },
        "the first probes' connections");
  stage.members[1]->state = "draining";
  stage.write_inventory();
  give_greetings(stage);
  const auto client = stage.client();
  reads_served(*client, "a", 12);
  until(
      [&] {
        return stage.members[0]->probes > 0 && stage.members[2]->probes > 0;
      },
      "the others' probes");
  CHECK(stage.members[1]->probes == 0 && stage.members[1]->requests == 0);
  finish(stage);
}

// A connection comes up only after its request has ended: the request has had its one answer,
// nothing of it is written, and the connection serves whoever comes next or is closed.
void late_dial(const Protocol& protocol) {
  Stage stage(protocol, 2, 0);
  stage.set_site({20'000});
  stage.start();
  const auto client = stage.client();
  reads_served(*client, "a", 8);
  hold_greetings(stage);
  client->ask(read("over", 300));
  awaited(stage);
  CHECK(client->answer() == Final::Refused);
  give_greetings(stage);
  reads_served(*client, "b", 12);
  CHECK(attempts_of(stage, "over") == 0);
  finish(stage);
}

// A write that may have run is due again, and its connection comes up only after its group no
// longer drops repeats: it is not written, and its client hears so then, not when its time is over.
void short_window(const Protocol& protocol) {
  Stage stage(protocol, 2, 0);
  Site site{20'000};
  site.window_ms = 150;
  site.aim_ms =
      60'000;  // longer than any wait for an event here: an answer at its end would come too late
  stage.set_site(site);
  stage.start();
  const auto client = stage.client();
  for (int i = 0; i < 12; ++i)
    CHECK(client->answer_to(save("w" + std::to_string(i))) == Final::Served);
  stage.script = {Fault::Silent};
  Ask write = save("keyed");
  write.wait_ms = 60'000;
  client->ask(write);
  until(
      [&] {
        return attempts_of(stage, "keyed") == 1;
      },
      "the write to go out");
  hold_greetings(
      stage);  // the attempt ends as a reset; the next one's connection comes up when it is told to
  awaited(stage);
  pass(2 * site.window_ms);
  give_greetings(stage);
  CHECK(client->answer() == Final::Failed);
  CHECK(attempts_of(stage, "keyed") == 1);
  finish(stage);
}

// A client leaves while its request waits for a member to be there at all, before its first attempt
// or before a repeat: once there is one, the request is not sent on.
void waiting_leaves(const Protocol& protocol) {
  for (const bool repeat : {false, true}) {
    Stage stage(protocol, 2, 0);
    stage.start();
    const auto client = stage.client(), leaver = stage.client();
    reads_served(*client, "a", 8);
    if (repeat) {
      stage.script = {Fault::Silent};
      leaver->ask(read("left-0"));
      until(
          [&] {
            return attempts_of(stage, "left-0") == 1;
          },
          "the first attempt");
    }
    for (const auto& member : stage.members)
      member->state = "draining";
    stage.write_inventory();
    if (repeat)
      for (const auto& member : stage.members)
        member->drop_connections();
    else
      leaver->ask(read("left-0"));
    loop_goes_round(*client, "u");  // it waits
    CHECK(leaver->answers.empty());
    leaver->hang_up();
    loop_goes_round(*client, "v");
    for (const auto& member : stage.members)
      member->state = "up";
    stage.write_inventory();
    reads_served(*client, "b", 12);
    CHECK(attempts_of(stage, "left-0") == repeat);
    stage.asked.erase("left-0");
    if (repeat)
      stage.asked["left-0"] = 0;
    finish(stage);
  }
}

// Clients leave in a burst, most with a request that waits for a connection, some with half a one
// or with many behind it: nothing of theirs is sent on, and those who come next find room.
void burst_leaves(const Protocol& protocol) {
  Stage stage(protocol, 2, 0);
  stage.set_site({20'000});
  stage.start();
  const auto usual = stage.client();
  reads_served(*usual, "a", 8);
  for (int round = 0; round < 4; ++round) {  // together more than may connect
    hold_greetings(stage);
    std::vector<std::unique_ptr<Client>> burst;
    for (int i = 0; i < 60; ++i) {
      std::string bytes = protocol.client_ask(read("left-" + std::to_string(round * 1000 + i)));
      if (i % 10 == 1)
        bytes.resize(bytes.size() / 2);
      if (i % 10 == 2)
        bytes.append(100'000, 'x');
      burst.push_back(stage.client());
      burst.back()->write(bytes);
    }
    awaited(stage);
    for (const auto& one : burst)
      until(
          [&] {
            return one->flushed();
          },
          "all to be written");
    loop_goes_round(*usual, "u" + std::to_string(round) + "-");
    for (const auto& one : burst)
      CHECK(one->answers.empty() && !one->ended_by_gateway);
    for (const auto& one : burst)
      one->hang_up();
    loop_goes_round(*usual, "v" + std::to_string(round) + "-");
    give_greetings(stage);
    reads_served(*usual, "b" + std::to_string(round) + "-", 12);
  }
  for (const auto& a : stage.attempts)
    CHECK(a.ask.id.compare(0, 5, "left-") != 0);
  std::vector<std::unique_ptr<Client>> next;
  for (int i = 0; i < 60; ++i) {
    next.push_back(stage.client());
    reads_served(*next.back(), "n" + std::to_string(i) + "-", 1);
  }
  finish(stage);
}

// Bytes nobody asked for on a resting connection, a whole message or half of one: never taken for
// an answer.
void resting_bytes(const Protocol& protocol) {
  for (const bool half : {false, true}) {
    Stage stage(protocol, 2, 0);
    stage.start();
    const auto client = stage.client();
    reads_served(*client, "a", 12);
    const std::string notice = protocol.member_notice();
    for (int round = 0; round < 5; ++round) {
      stage.freeze();  // so that the bytes are there when the next request is
      for (const auto& member : stage.members)
        member->say(half ? notice.substr(0, notice.size() / 2) : notice);
      const std::string id = "b" + std::to_string(round);
      client->ask(round % 2 ? read(id)
                            : Ask{id, "once", "key", 2500,
                                  true});  // served, as it met no broken connection
      until(
          [&] {
            return client->flushed();
          },
          "the request to be written");
      stage.go_on();
      CHECK(client->answer() == Final::Served && client->value.compare(0, 4, "by m") == 0);
    }
    finish(stage);
  }
}

// A member's answer does not end: its attempt does, and the next one's answer is the client's.
void endless(const Protocol& protocol) {
  Stage stage(protocol, 2, 0);
  stage.start();
  const auto client = stage.client();
  reads_served(*client, "a", 12);
  stage.script = {Fault::Endless};
  CHECK(client->answer_to(read("endless")) == Final::Served);
  CHECK(client->value.compare(0, 4, "by m") == 0 && attempts_of(stage, "endless") == 2);
  stage.script = {Fault::Endless};
  CHECK(client->answer_to({"once", "once", "key", 2500, true}) == Final::Failed);
  reads_served(*client, "b", 8);
  finish(stage);
}

// The door closes while a resting client's request and a new client's connection are already with
// the kernel: both get an answer, served or refused. Held by the program standing still until the
// door is due.
void bytes_at_the_door(const Protocol& protocol) {
  bool crossed = false;
  for (int round = 0; !crossed; ++round) {
    CHECK(round < 20);
    Stage stage(protocol, 2, 0);
    stage.start();
    const auto resting = stage.client(), silent = stage.client();
    reads_served(*resting, "a", 4);
    reads_served(*silent, "b", 1);
    stage.signal(SIGTERM);
    stage.await_log("shutdown_started");
    stage.freeze();
    pass(600);  // the door is due
    resting->ask(read("resting"));
    const auto fresh = stage.client();
    fresh->ask(read("fresh"));
    until(
        [&] {
          return resting->flushed() && fresh->flushed();
        },
        "both to be written");
    crossed = !resting->ended_by_gateway &&
              !fresh->ended_by_gateway;  // else the door was faster on a busy machine
    stage.go_on();
    if (crossed)
      for (Client* client : {resting.get(), fresh.get()}) {
        const Final final = client->answer();
        CHECK(final == Final::Served || final == Final::Refused);
        CHECK(final == Final::Served ||
              attempts_of(stage, client == fresh.get() ? "fresh" : "resting") == 0);
      }
    CHECK(stage.exit_code() == 0);
    CHECK(silent->end == "closed by the peer");
    if (crossed)
      stage.check_rules();
  }
}

// The end comes while answers are half written, as their client reads nothing: it waits for the
// client, and what was asked behind them and not begun is refused in words. Then the program starts
// again at once where it listened.
void half_written(const Protocol& protocol) {
  constexpr int kAsked = 160;  // far more than the kernel holds of such answers
  Stage stage(protocol, 2, 0);
  stage.start();
  Site site;
  site.listen = stage.address();
  auto slow = stage.client();
  const auto resting = stage.client();
  reads_served(*resting, "a", 4);
  for (const auto& member : stage.members)
    member->value_bytes = 60'000;
  slow->deaf(true);
  for (int i = 0; i < kAsked; ++i)
    slow->ask(read("slow" + std::to_string(i)));
  until(
      [&] {
        return attempts_of(stage, "slow0") == 1;
      },
      "the first to go out");
  stage.signal(SIGTERM);
  until(
      [&] {
        return resting->ended_by_gateway;
      },
      "the door to be closed");
  CHECK(attempts_of(stage, "slow" + std::to_string(kAsked - 1)) == 0 && stage.running());
  slow->deaf(false);
  int served = 0, refused = 0;
  for (int i = 0; i < kAsked; ++i) {
    const Final final = slow->answer();
    CHECK(final == Final::Served ? refused == 0 : final == Final::Refused);
    ++(final == Final::Served ? served : refused);
  }
  CHECK(served > 0 && refused > 0);
  CHECK(stage.exit_code() == 0 && slow->end == "closed by the peer");
  for (const auto& member : stage.members)
    member->value_bytes = 0;
  if (&protocol == &postgres()) {  // the platform's front keeps its address
    stage.set_site(site);
    stage.start();
    CHECK(stage.address() == site.listen);
    reads_served(*stage.client(), "again", 8);
  }
  stage.check_rules();
}

// The list on the watch: indented, without a length and ended by nothing; an old one after a new
// one, on the same watch or on the next; cut by a reset in its midst; a chunk whose size does not
// end; one told while the agent was away. Whoever was told to leave gets nothing from then on.
void lists(const Protocol& protocol) {
  Stage stage(protocol, 3, 0);
  Agent agent;
  stage.use_discovery(agent.listener.address());
  stage.start();
  const auto client = stage.client();
  int round = 0;
  const auto left_alone = [&](std::size_t leaving) {
    Member& member = *stage.members[leaving];
    const int requests = member.requests, probes = member.probes;
    reads_served(*client, "r" + std::to_string(round++) + "-", 30);
    CHECK(member.requests == requests && member.probes == probes);
  };
  const auto breaks = [&](const std::function<void()>& how, const char* from) {
    const int calls = agent.calls;
    how();
    until(
        [&] {
          return agent.calls > calls;
        },
        "the watch to be opened again");
    agent.call();
    CHECK(agent.asked.find(from) != std::string::npos);
  };
  // What was told is taken once the connections to one that is gone are closed: a change that shows
  // from outside.
  const auto taken = [&](std::size_t gone) {
    until(
        [&] {
          return stage.members[gone]->connections() == 0;
        },
        "the list to be taken");
  };

  agent.call();
  std::string indented = Agent::text(stage, 41);
  indented.pop_back();  // no line end
  for (std::size_t at = 0; (at = indented.find_first_of(",[{", at)) != std::string::npos; at += 4)
    indented.insert(at + 1, "\n  ");
  agent.stream->write({"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", indented});
  reads_served(*client, "a", 30);
  CHECK(stage.members[1]->requests > 0 && stage.members[2]->requests > 0);  // the replicas

  // m1 drains, and the list with m2 gone tells that it is taken; then an older list that names both
  // as up.
  const std::string old = Agent::text(stage, 42);
  stage.members[1]->state = "draining", stage.members[2]->state = "gone";
  agent.stream->write({"\n", Agent::text(stage, 43), old});
  taken(2);
  left_alone(1);
  left_alone(2);
  // The connection is reset in the midst of a list, which is none; the next watch begins with the
  // old one, as from an agent that is behind.
  breaks(
      [&] {
        agent.stream->write({old.substr(0, old.size() - 20)}), agent.reset();
      },
      "from=43 ");
  agent.stream->write({"HTTP/1.1 200 OK\r\n\r\n", old});
  left_alone(1);
  breaks(
      [&] {
        agent.reset();
      },
      "from=42 ");
  agent.stream->write({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"});
  breaks(
      [&] {
        agent.stream->write({std::string(100, '1')});
      },
      "from=42 ");
  stage.await_log("endpoint_watch_closed reason=\"a malformed chunk\"");
  agent.stream->write({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"});
  stage.members[1]->state = stage.members[2]->state = "up";  // a later word
  agent.list(stage, 44);
  const int before = stage.members[1]->requests;
  while (stage.members[1]->requests == before)
    reads_served(*client, "b" + std::to_string(round++) + "-", 1);

  // The agent goes away, and what changes meanwhile is told at once when it is back.
  const std::string address = agent.listener.address();
  agent.listener.close();
  agent.reset();
  reads_served(*client, "c", 10);
  stage.members[1]->state = "draining", stage.members[2]->state = "gone";
  const int calls = agent.calls;
  CHECK(!agent.listener.listen(address));
  until(
      [&] {
        return agent.calls > calls;
      },
      "the watch to be opened again");
  agent.welcome();
  agent.list(stage, 45);
  taken(2);
  left_alone(1);
  finish(stage);
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
