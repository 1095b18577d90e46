// The stories: each protocol goes through the same ones, by the same script, and under the same
// rules.
#include "test_harness.h"

#include <csignal>
#include <cstring>

using namespace test_harness;

namespace {

constexpr int kSome = -1;  // as many attempts as it takes, within the rules

// One shared script of faults: what became of each request must be the same whatever the wire.
void faults(const Protocol& protocol) {
  struct Line {
    Ask ask;
    std::vector<Fault> script;
    Final final;
    int attempts;
  };

  const Line lines[] = {
      {read("plain"), {Fault::Serve}, Final::Served, 1},
      {read("full"), {Fault::Full, Fault::Serve}, Final::Served, 2},
      {save("keyed-full"), {Fault::Full, Fault::Serve}, Final::Served, 2},
      {{"once-full", "once", "key", 2500, true}, {Fault::Full, Fault::Serve}, Final::Served, 2},
      {read("error"), {Fault::Error, Fault::Serve}, Final::Served, 2},
      {{"once-error", "once", "key", 2500, true}, {Fault::Error}, Final::Failed, 1},
      {read("garbage"), {Fault::Garbage, Fault::Serve}, Final::Served, 2},
      {read("short"), {Fault::Short, Fault::Serve}, Final::Served, 2},
      {read("huge"), {Fault::Huge, Fault::Serve}, Final::Served, 2},
      {save("keyed-short"), {Fault::Short, Fault::Serve}, Final::Served, 2},
      {{"once-huge", "once", "key", 2500, true}, {Fault::Huge}, Final::Failed, 1},
      {read("copied"), {Fault::Copied}, Final::Served, 1},
      {read("bad-report"), {Fault::BadReport}, Final::Served, 1},
      {read("reset"), {Fault::Reset, Fault::Serve}, Final::Served, 2},
      // A silent member: no second attempt while the first is out; refused at the end, as a read is
      // harmless.
      {read("silent", 400), {Fault::Silent}, Final::Refused, 1},
      // The primary breaks one connection and lives on: the write comes back to it, over replicas
      // or not; one that may not be repeated ends as failed.
      {save("keyed-reset"), {Fault::Reset, Fault::Serve}, Final::Served, kSome},
      {{"once-reset", "once", "key", 2500, true}, {Fault::Reset}, Final::Failed, 1},
  };
  for (const Line& line : lines) {
    Stage stage(protocol, 3, 0);
    stage.start();
    const auto client = stage.client();
    // So many good answers first that one bad one does not count as a crowd: what follows is the
    // same every time.
    for (int i = 0; i < 12; ++i) {
      CHECK(client->answer_to(read("r" + std::to_string(i))) == Final::Served);
      CHECK(client->answer_to(save("w" + std::to_string(i))) == Final::Served);
      CHECK(client->value == "by m0");
    }
    stage.script.assign(line.script.begin(), line.script.end());
    const Final final = client->answer_to(line.ask);
    const bool as_told = line.attempts == kSome || attempts_of(stage, line.ask.id) == line.attempts;
    if (final != line.final || !as_told)
      std::fprintf(stderr, "%s: %s: final %d, %d attempts\n", protocol.name(), line.ask.id.c_str(),
                   static_cast<int>(final), attempts_of(stage, line.ask.id));
    CHECK(final == line.final);
    CHECK(as_told);
    for (int i = 0; i < 8; ++i) {  // whatever came behind an answer is nobody's
      CHECK(client->answer_to(read("after" + std::to_string(i))) == Final::Served);
      CHECK(client->value.substr(0, 4) == "by m");
    }
    CHECK(client->answers.empty());
    for (const auto& a : stage.attempts)
      CHECK(a.ask.wait_ms > 0 && a.ask.wait_ms <= 2500);
    finish(stage);
  }
}

// The hard case: a write with its key goes to the member listed as primary, which is a replica by
// now and turns it away. It must reach the real primary, under the same key, and be answered once.
void turned_away(const Protocol& protocol) {
  Stage stage(protocol, 3, 2);
  stage.start();
  const auto client = stage.client();
  CHECK(client->answer_to(save("w1")) == Final::Served);
  CHECK(client->value == "by m2");
  CHECK(stage.attempts.back().member == stage.members[2].get() &&
        stage.attempts.back().ask.key == "key-w1");
  const int before = stage.members[2]->requests;
  CHECK(client->answer_to(save("w2")) == Final::Served);
  CHECK(stage.members[2]->requests == before + 1 && attempts_of(stage, "w2") == 1);  // learnt
  finish(stage);
}

// A session's write is out, or broke: its member may have done it. The session's reads go where
// that would be seen, and to no replica that lags, though nothing was told of the write yet.
void own_writes(const Protocol& protocol) {
  Stage stage(protocol, 3, 0);
  stage.start();
  const auto client = stage.client(), writer = stage.client();
  const auto session = [](const std::string& id) {
    return Ask{id, "session", "", 2000, false};
  };
  for (int i = 0; i < 12; ++i) {  // so many good answers that one that does not come is no crowd
    CHECK(client->answer_to(save("w" + std::to_string(i))) == Final::Served);
    CHECK(client->answer_to(session("s" + std::to_string(i))) == Final::Served);
  }
  do  // until a replica is known to hold all that was written so far; it gets no more
    CHECK(client->answer_to(session("t" + std::to_string(stage.attempts.size()))) == Final::Served);
  while (client->value == "by m0");
  stage.members[1]->standing.behind_ms = stage.members[2]->standing.behind_ms = 60'000;
  stage.script = {Fault::Silent};
  writer->ask({"out", "once", "key-out", 700, true});
  until(
      [&] {
        return attempts_of(stage, "out") == 1;
      },
      "the write to go out");
  pass(120);  // an answer to it would count as known by now
  CHECK(client->answer_to(session("while-out")) == Final::Served && client->value == "by m0");
  CHECK(writer->answer() == Final::Failed);
  CHECK(client->answer_to(session("after")) == Final::Served && client->value == "by m0");
  finish(stage);
}

// A member that is told to drain gets nothing new after 250 ms; what was asked meanwhile is served
// elsewhere.
void drains(const Protocol& protocol) {
  Stage stage(protocol, 3, 0);
  stage.start();
  const auto client = stage.client();
  reads_served(*client, "a", 20);
  stage.members[1]->state = "draining";
  stage.write_inventory();
  const int before = stage.members[1]->requests;
  reads_served(*client, "b", 40);
  CHECK(stage.members[1]->requests == before);
  // Left out of the list, it is gone: its idle connections are closed, not kept until they grow
  // old.
  stage.members[1]->state = "gone";
  stage.write_inventory();
  until(
      [&] {
        return stage.members[1]->connections() == 0;
      },
      "the connections to one that is gone to be closed");
  finish(stage);
}

// A member dies: its connections reset and new ones are refused. Reads go on, each with one answer.
void dies(const Protocol& protocol) {
  Stage stage(protocol, 3, 0);
  stage.start();
  const auto client = stage.client();
  reads_served(*client, "a", 12);
  stage.members[1]->die();
  reads_served(*client, "b", 24);
  finish(stage);
}

// Members forget connections that rested, long before the settings say, and reset them at the next
// message. All is served, and after a few breaks such connections are replaced instead of used.
void rests(const Protocol& protocol) {
  Stage stage(protocol, 3, 0);
  stage.start();
  const auto client = stage.client();
  reads_served(*client, "a", 12);
  for (const auto& member : stage.members)
    member->forgets_ms = 40;
  for (int i = 0; i < 60; ++i) {
    pass(60);
    reads_served(*client, "b" + std::to_string(i) + "-", 1);
  }
  int forgotten = 0;
  for (const auto& member : stage.members)
    forgotten += member->forgotten;
  CHECK(forgotten > 0 &&
        forgotten <=
            30);  // eight tell, in each span of rests that a busy machine may make of these
  finish(stage);
}

// Whatever a client sends ends at its own connection.
void bad_input(const Protocol& protocol) {
  Stage stage(protocol, 2, 0);
  stage.start();
  const auto good = stage.client();
  CHECK(good->answer_to(read("first")) == Final::Served);
  const std::string hello = protocol.client_hello();
  const std::string whole = protocol.client_ask(read("cut"));
  std::vector<std::string> inputs{std::string(64, '\xff'), hello + std::string(64, '\xff'),
                                  std::string(64, '\0')};
  for (std::size_t at = 0; at < whole.size(); at += 3) {  // one byte off, anywhere
    std::string bent = whole;
    bent[at] = static_cast<char>(bent[at] ^ 0x55);
    inputs.push_back(hello + bent);
  }
  for (const std::string& input : inputs) {
    const auto bad = stage.client();
    bad->write(input);
    pass(1);
    bad->hang_up();
  }
  const auto oversized = stage.client();
  oversized->write(protocol.client_ask({"big", "any", "", 2000, false}).substr(0, 1) +
                   std::string(1 << 20, 'x'));
  until(
      [&] {
        return oversized->ended_by_gateway;
      },
      "an oversized message to be turned away");
  // A class that is not known, and a write under a class for reads: declined in words, and the
  // connection goes on.
  const auto client = stage.client();
  CHECK(client->answer_to({"u", "unheard-of", "", 2000, false}) == Final::Failed);
  CHECK(client->answer_to({"v", "any", "k", 2000, true}) == Final::Failed);
  CHECK(client->answer_to(read("same-connection")) == Final::Served);
  CHECK(good->answer_to(read("last")) == Final::Served);
  stage.asked["cut"] = 1;
  CHECK(stage.running());
}

// Clients that say nothing, half of something, ask once and stay, or write hundreds of commands:
// each is answered or closed in time, and the usual ones are served meanwhile.
void crowds(const Protocol& protocol) {
  Stage stage(protocol, 2, 0);
  stage.start();
  const auto usual = stage.client();
  CHECK(usual->answer_to(read("usual")) == Final::Served);
  const std::string half = protocol.client_ask(read("half")).substr(0, 30);
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 250; ++i) {
    crowd.push_back(stage.stranger());  // says nothing
    if (i % 10 != 9)
      continue;
    crowd.push_back(stage.client());  // half a command
    crowd.back()->write(half);
  }
  for (int served = 0; served < 10;) {  // meanwhile: connections are free for those that ask
    const auto client = stage.client();
    const Ask question = read("new" + std::to_string(served));
    client->ask(question);
    until(
        [&] {
          return !client->answers.empty() || client->ended_by_gateway;
        },
        "an answer, or the door");
    // Turned away, it comes again, as clients do: on a starved machine its greeting may come late.
    const bool turned_away = client->answers.empty() || client->answers.front() != Final::Served;
    if (turned_away)
      --stage.asked[question.id], stage.answered -= static_cast<int>(client->answers.size());
    served += !turned_away;
  }
  for (const auto& one : crowd)
    until(
        [&] {
          return one->ended_by_gateway;
        },
        "the crowd to be closed");
  for (const auto& one : crowd)
    stage.answered -= static_cast<int>(one->answers.size());  // they asked nothing
  crowd.clear();
  // The same again by clients that ask once and stay: after 2 s they make room.
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(stage.client());
    CHECK(crowd.back()->answer_to(read("stay" + std::to_string(i))) == Final::Served);
  }
  const auto open = [&crowd] {
    int count = 0;
    for (const auto& one : crowd)
      count += !one->ended_by_gateway;
    return count;
  };
  until(
      [&] {
        return open() <= 45;
      },
      "those that stay to be closed");
  // An id that is open is not sent out beside itself, whoever asks; what is asked under another
  // name is served.
  const auto other = stage.client(), bad = stage.client();
  stage.script = {Fault::Silent};
  other->ask(read("open", 900));
  until(
      [&] {
        return attempts_of(stage, "open") == 1;
      },
      "the request to go out");
  CHECK(bad->answer_to(read("open")) == Final::Failed);
  for (int i = 0; i < 300; ++i)
    bad->ask({"b" + std::to_string(i), "unheard-of", "", 2000, false});
  CHECK(bad->answer_to(read("last")) == Final::Failed);  // the first of them
  for (int i = 0; i < 299; ++i)
    CHECK(bad->answer() == Final::Failed);
  CHECK(bad->answer() == Final::Served);
  CHECK(other->answer() == Final::Refused && attempts_of(stage, "open") == 1);
  finish(stage);
}

// The last words of a closing reach a client that goes on writing: they are not lost to a reset.
void last_words(const Protocol& protocol) {
  Stage stage(protocol, 2, 0);
  stage.start();
  const auto usual = stage.client();
  CHECK(usual->answer_to(read("usual")) == Final::Served);
  for (int i = 0; i < 20; ++i) {  // more at once than may linger
    const auto client = stage.client();
    client->write(std::string(
        64 * 1024, '\xff'));  // what follows the first of it is unread when it is turned down
    until(
        [&] {
          return client->ended_by_gateway;
        },
        "the door");
    CHECK(client->end == "closed by the peer");
    CHECK(client->input.size() + client->answers.size() > 0);
    stage.answered -= static_cast<int>(client->answers.size());  // it asked nothing
  }
  finish(stage);
}

// Requests written right behind the greeting, several at once: answered in order, one answer each.
void written_ahead(const Protocol& protocol) {
  Stage stage(protocol, 2, 0);
  stage.start();
  const auto client = stage.client();
  for (int i = 0; i < 10; ++i)
    client->ask(read("p" + std::to_string(i)));
  for (int i = 0; i < 10; ++i)
    CHECK(client->answer() == Final::Served);
  CHECK(client->answers.empty());
  finish(stage);
}

// After SIGTERM connections go on coming for a while and are served; what is in hand is answered;
// then it ends.
void stops(const Protocol& protocol) {
  Stage stage(protocol, 2, 0);
  stage.start();
  const auto client = stage.client();
  CHECK(client->answer_to(read("before")) == Final::Served);
  stage.script = {Fault::Silent};
  client->ask(read("in-hand", 1200));
  until(
      [&] {
        return !stage.attempts.empty() && stage.attempts.back().ask.id == "in-hand";
      },
      "the request to go out");
  stage.signal(SIGTERM);
  pass(200);
  const auto late = stage.client();
  CHECK(late->answer_to(read("late")) == Final::Served);
  CHECK(client->answer() == Final::Refused);
  CHECK(stage.threads() ==
        1);  // where one thread runs at a time, a second may hold what the first waits for
  CHECK(stage.exit_code() == 0);
  CHECK(late->answers.empty() && client->answers.empty());
  stage.check_rules();
}

// A team's budget: beyond it refused at once; classes outside the contract are declined; strangers
// turned away.
void budgets(const Protocol& protocol) {
  Stage stage(protocol, 2, 0,
              "contracts { team { name: 'portal' budget { per_second: 0.01 burst: 3 } class { "
              "name: 'any' tries: 1 "
              "longest_wait_ms: 700 } } }");
  stage.start();
  const auto client = stage.client();
  CHECK(client->answer_to(read("one")) == Final::Served);
  stage.script = {Fault::Error};
  CHECK(client->answer_to(read("two")) ==
        Final::Refused);  // one attempt and no more, by the contract
  CHECK(attempts_of(stage, "two") == 1);
  CHECK(client->answer_to(save("not-theirs")) == Final::Failed);
  CHECK(client->answer_to(read("three")) == Final::Served);
  CHECK(client->answer_to(read("four")) == Final::Refused);
  CHECK(attempts_of(stage, "four") == 0);
  for (const auto& a : stage.attempts)
    CHECK(a.ask.wait_ms <= 700);
  // Read again while a request is open: it ends by the terms that it began with; new ones come
  // under the new.
  const auto portal = [&](const char* terms) {
    stage.write_file(std::string("contracts { team { name: 'portal' ") + terms + " } }");
    stage.write_inventory();
  };
  portal("class { name: 'any' longest_wait_ms: 900 tries: 1 }");
  const auto waiting = stage.client();
  CHECK(waiting->answer_to(read("five")) == Final::Served);  // no budget any more
  stage.script = {Fault::Silent};
  waiting->ask(read("open"));
  until(
      [&] {
        return attempts_of(stage, "open") == 1;
      },
      "the request to go out");
  portal("class { name: 'save' }");
  CHECK(client->answer_to(save("theirs-now")) == Final::Served);
  CHECK(client->answer_to(read("not-any-more")) == Final::Failed);
  stage.write_file("contracts { team { name: 'others' class { name: 'any' } } }");
  stage.write_inventory();
  CHECK(client->answer_to(save("no-contract")) == Final::Failed);
  CHECK(waiting->answer() == Final::Refused);  // when its 900 ms were over, and once
  if (&protocol == &mongo()) {  // beside discovery's groups, which are not known beforehand
    portal("class { name: 'any' } group: 7");
    CHECK(client->answer_to(read("other-group")) == Final::Failed);
  }
  finish(stage);
}

// Statements are parsed where the file says so: what may write never goes out under a class that
// reads, whatever it calls itself; what is unknown goes out once under one that writes.
void shapes(const Protocol& protocol) {
  Stage stage(protocol, 3, 0, "shapes { postgres: true read_function: 'area_total' }");
  stage.start();
  const auto client = stage.client();
  int number = 0;
  const auto ask = [&](const char* statement, const char* service_class = "any") {
    Ask question = read("shape" + std::to_string(number++));
    question.statement = statement, question.service_class = service_class;
    question.write = std::strcmp(service_class, "any") != 0, question.key = "key";
    return question;
  };
  for (const char* text :
       {"SELECT area_total(3), upper(data) FROM facts WHERE code = 'x; DELETE FROM facts'",
        "WITH recent AS (SELECT * FROM facts) SELECT count(*) FROM recent"})
    CHECK(client->answer_to(ask(text)) == Final::Served);
  for (const char* text :
       {"SELECT nextval('ids')", "SELECT other(3)", "SELECT data FROM facts FOR UPDATE",
        "WITH gone AS (DELETE FROM facts RETURNING *) SELECT * FROM gone",
        "SELECT data INTO copy FROM facts", "EXPLAIN ANALYZE DELETE FROM facts", "SELECT 'odd"}) {
    const Ask question = ask(text);
    CHECK(client->answer_to(question) == Final::Failed && attempts_of(stage, question.id) == 0);
  }
  const Ask unknown = ask("INSERT INTO facts (code) VALUES (mystery())", "save");
  CHECK(client->answer_to(unknown) != Final::Failed);
  stage.script = {Fault::Full};
  const Ask once = ask("VACUUM_ODDLY", "save");  // cannot be parsed: one attempt and no more
  CHECK(client->answer_to(once) == Final::Refused);
  CHECK(attempts_of(stage, once.id) == 1);
  stage.write_file("");  // and off again
  stage.write_inventory();
  CHECK(client->answer_to(ask("SELECT other(3)")) == Final::Served);
  finish(stage);
}

// The list comes by a watch; a change is heeded; a broken line, or a watch that broke or fell
// silent, is asked for again, and a list as held goes on meanwhile.
void discovery(const Protocol& protocol) {
  Stage stage(protocol, 3, 0);
  Agent agent;
  stage.use_discovery(agent.listener.address());
  stage.start();
  agent.welcome();
  CHECK(agent.asked.compare(0, 35, "GET /api/targets?watch=1&from=0 HTT") == 0);
  agent.list(stage, 41);
  const auto client = stage.client();
  reads_served(*client, "a", 20);
  stage.members[2]->state = "draining";
  agent.list(stage, 42);
  pass(250);
  const int before = stage.members[2]->requests;
  reads_served(*client, "b", 40);
  CHECK(stage.members[2]->requests == before);
  const auto broken = agent.stream;
  agent.send("{\"revision\":43,\"members\":7}\n");
  until(
      [&] {
        return agent.stream != broken;
      },
      "the watch to be opened again");
  agent.welcome();
  CHECK(agent.asked.find("from=0 ") !=
        std::string::npos);  // what was missed is not known: everything, please
  agent.list(stage, 44);
  const auto silent = agent.stream;
  until(
      [&] {
        return agent.stream != silent;
      },
      "the watch that fell silent to be opened again");
  agent.welcome();
  CHECK(agent.asked.find("from=44 ") != std::string::npos);
  agent.stream->close();
  reads_served(*client, "c", 10);
  finish(stage);
}

// SIGHUP under load: the new agent's list is followed without forgetting members, positions or what
// is in hand; a configuration that cannot be used changes nothing.
void reload(const Protocol& protocol) {
  Stage stage(protocol, 3, 0);
  Agent old, fresh;
  stage.use_discovery(old.listener.address());
  stage.start();
  old.welcome();
  old.list(stage, 41);
  const auto client = stage.client(), waiting = stage.client();
  reads_served(*client, "a", 20);
  stage.script = {Fault::Silent};
  waiting->ask(read("in-hand", 1000));
  until(
      [&] {
        return !stage.attempts.empty() && stage.attempts.back().ask.id == "in-hand";
      },
      "it to go out");
  stage.reload("nowhere", "reload_rejected");
  CHECK(stage.log.find("config.json: line 1: ") != std::string::npos);
  CHECK(stage.log.find("'discovery'") != std::string::npos && fresh.asked.empty());
  stage.reload(fresh.listener.address(), "reload_complete");
  fresh.welcome();
  CHECK(fresh.asked.find("from=0 ") !=
        std::string::npos);  // the old one's revision tells the new one nothing
  old.listener.close();
  stage.members[2]->state = "draining";
  fresh.list(stage, 7);
  pass(250);
  const int before = stage.members[2]->requests;
  reads_served(*client, "b", 40);
  CHECK(stage.members[2]->requests == before);
  CHECK(waiting->answer() == Final::Refused);
  finish(stage);
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
