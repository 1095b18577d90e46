// A control service under load: stand-in clients and members of both protocols, and versions that
// are good, broken, half, reordered or lying. Every request is answered once; what runs at the end
// is what was accepted.
#include "check_macro.h"

#include "control/service.h"

#include "snapshot_store/snapshot_codec.h"
#include "snapshot_store/snapshot_file.h"

#include <csignal>
#include <cstring>
#include <fstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace test_harness;
using namespace std::chrono_literals;
using stand_in::Cable;
using stand_in::Script;
using stand_in::Service;
namespace pb = gorsebeam::config::v1;

namespace {

std::string control(const std::vector<std::string>& addresses, const std::string& more = "") {
  std::string text =
      "control_service { node: 'gw-1' cluster: 'palermo' reconnect_most_ms: 100 silence_ms: 500 "
      "hold_ms: 400 ";
  for (const std::string& address : addresses)
    text += "address: '" + address + "' ";
  return text + "}\n" + more;
}

// Clients that ask all the while, each its next when the last is answered.
class Load {
public:
  Load(GatewayHarness& harness, int clients) : harness_(harness) {
    for (int i = 0; i < clients; ++i)
      clients_.push_back(harness.connect_client());
  }

  void turn() {
    for (auto& client : clients_) {
      const bool answered = client.waiting && !client->responses.empty();
      if (answered) {
        ++finals[client->responses.front()];
        client->responses.pop_front();
        client.waiting = false;
      }
      if (client.waiting || resting)
        continue;
      const std::string id = "load" + std::to_string(next_++);
      client->send_request(next_ % 4 == 0 ? keyed_write(id) : read_request(id));
      client.waiting = true;
    }
  }

  void wait_until(const std::function<bool()>& condition, const char* what) {
    test_harness::wait_until(
        [&] {
          return turn(), condition();
        },
        what);
  }

  void more(int answers) {
    const int before = total();
    wait_until(
        [&] {
          return total() >= before + answers;
        },
        "more answers");
  }

  void rest() {
    resting = true;
    wait_until(
        [&] {
          for (auto& client : clients_)
            if (client.waiting)
              return false;
          return true;
        },
        "all to be answered");
  }

  int total() const {
    int sum = 0;
    for (const auto& [final, count] : finals)
      sum += count;
    return sum;
  }

  std::map<ClientResult, int> finals;
  bool resting = false;

private:
  struct One {
    One(std::unique_ptr<TestClient> c) : client(std::move(c)) {}

    TestClient* operator->() { return client.get(); }

    std::unique_ptr<TestClient> client;
    bool waiting = false;
  };

  GatewayHarness& harness_;
  std::list<One> clients_;
  int next_ = 0;
};

struct Plane {  // a stage with a service and its versions

  explicit Plane(const Protocol& protocol, std::size_t count = 3) : harness(protocol, count, 0) {}

  void start(const std::vector<std::string>& addresses, const std::string& more = "") {
    harness.write_operator_file(control(addresses, more));
    harness.start();
  }

  pb::Members members(std::uint64_t generation) {
    pb::Members m;
    m.set_generation(generation);
    auto* list = &harness.protocol == &mongo() ? m.mutable_mongo() : m.mutable_postgres();
    for (const auto& endpoint : harness.endpoints) {
      if (endpoint->listed_status == ListedStatus::Removed)
        continue;
      pb::Member& one = *list->Add();
      one.set_name(endpoint->name), one.set_address(endpoint->address);
      one.set_role(endpoint->listed_as_primary ? pb::Member::PRIMARY : pb::Member::REPLICA);
      one.set_state(endpoint->listed_status == ListedStatus::Draining ? pb::Member::DRAINING
                                                                      : pb::Member::UP);
    }
    return m;
  }

  static pb::Contracts contracts(std::uint64_t generation,
                                 std::vector<std::string> classes = {"any", "save"}) {
    pb::Contracts c;
    c.set_generation(generation);
    pb::Team& team = *c.add_team();
    team.set_name("portal");
    for (const auto& name : classes)
      team.add_class_()->set_name(name);
    return c;
  }

  bool told(const std::string& text) {
    harness.gateway.read_log();  // reads the log
    return harness.gateway.log.find(text) != std::string::npos;
  }

  GatewayHarness harness;
};

void has(const std::string& text, const char* part) {
  if (text.find(part) == std::string::npos)
    std::fprintf(stderr, "'%s' does not hold '%s'\n", text.c_str(), part);
  CHECK(text.find(part) != std::string::npos);
}

// Good, broken and reordered versions; types that need each other; and what a version takes away
// while it is asked.
void versions(const Protocol& protocol) {
  Plane plane(protocol);
  Service service;
  plane.start({service.address()});
  Load load(plane.harness, 8);
  load.wait_until(
      [&] {
        return service.heard().size() >= 3;
      },
      "the subscriptions");
  CHECK(service.heard()[0].node == "gw-1");
  const auto pushed = [&](const google::protobuf::Message& m, const std::string& version) {
    const std::string nonce = service.push(m, version);
    load.more(5);
    return service.answer(nonce);
  };
  CHECK(pushed(plane.members(1), "m1").empty());
  CHECK(pushed(plane.contracts(1), "c1").empty());
  load.more(40);
  CHECK(load.finals.size() == 1 && load.finals.count(ClientResult::Served));

  // Broken ones, each with its reason; what runs goes on.
  pb::Members bad = plane.members(2);
  auto* list = &protocol == &mongo() ? bad.mutable_mongo() : bad.mutable_postgres();
  list->at(1).set_name(list->at(0).name());
  has(pushed(bad, "bad"), "[1].name: 'm0' stands twice; keep one");
  pb::Members nobody;
  nobody.set_generation(2);
  has(pushed(nobody, "nobody"), "set may_be_empty if that is meant");
  pb::Contracts below = plane.contracts(2);
  below.mutable_team(0)->mutable_budget()->set_per_second(-1);
  has(pushed(below, "below"), "team[0].budget.per_second: is out of range");
  pb::Contracts two = plane.contracts(2), other = plane.contracts(2, {"nothing"});
  other.mutable_team(0)->set_name("other");
  has(service.answer(service.push({&two, &other}, "one-bad")),
      "'nothing' is no class of the settings");
  pb::Contracts unknown = plane.contracts(2);
  unknown.GetReflection()->MutableUnknownFields(unknown.mutable_team(0))->AddVarint(99, 1);
  has(pushed(unknown, "unknown"), "team[0]: field number 99 of Team is not known to this version");
  has(service.answer(service.push({&two}, "strange", "type.googleapis.com/other")),
      "is not known here");
  has(service.answer(service.push({}, "none", "type.googleapis.com/gorsebeam.config.v1.Members")),
      "no resource");
  has(pushed(plane.contracts(0), "old"), "no generation");

  // Out of order, and back on purpose.
  CHECK(pushed(plane.contracts(5), "c5").empty());
  has(pushed(plane.contracts(4, {"any"}), "c4"), "generation 4 is older than 5");
  pb::Contracts back = plane.contracts(4);
  back.set_rolls_back(5);
  CHECK(pushed(back, "back").empty());
  load.more(40);
  CHECK(load.finals.size() == 1);

  // A host that holds a request is removed: that one is still answered, once, and it gets nothing
  // new.
  const auto waiting = plane.harness.connect_client();
  load.rest();
  plane.harness.script = {ScriptedResponse::NoResponse};
  waiting->send_request(read_request("held", 700));
  wait_until(
      [&] {
        return !plane.harness.attempts.empty() &&
               plane.harness.attempts.back().request.id == "held";
      },
      "it to go out");
  StubEndpoint* holder = plane.harness.attempts.back().endpoint;
  if (holder->listed_as_primary)
    holder = plane.harness.endpoints[1].get();  // the group keeps its primary
  holder->listed_status = ListedStatus::Removed;
  CHECK(service.push_and_answer(plane.members(6), "m6").empty());
  run_main_loop_for(250ms);
  const int before = holder->request_count;
  load.resting = false;
  load.more(60);
  CHECK(holder->request_count == before);
  CHECK(waiting->await_response() ==
        ClientResult::Rejected);  // never beside a second attempt: the stage checks

  // Host and name come back at once, with another address: nothing goes to the old one.
  const std::string old_address = holder->address;
  plane.harness.endpoints.push_back(
      std::make_unique<StubEndpoint>(plane.harness, holder->name, false, false));
  CHECK(pushed(plane.members(7), "m7").empty());
  load.wait_until(
      [&] {
        return plane.harness.endpoints.back()->request_count > 0;
      },
      "the new address to be asked");
  load.more(50);
  CHECK(holder->request_count == before);

  // And one that was never gone has another address from one version to the next.
  StubEndpoint* moved =
      plane.harness.endpoints[holder == plane.harness.endpoints[2].get() ? 1 : 2].get();
  moved->listed_status = ListedStatus::Removed;
  plane.harness.endpoints.push_back(
      std::make_unique<StubEndpoint>(plane.harness, moved->name, false, false));
  CHECK(pushed(plane.members(8), "m8").empty());
  load.wait_until(
      [&] {
        return plane.harness.endpoints.back()->request_count > 0;
      },
      "the other address to be asked");
  wait_until(
      [&] {
        return moved->open_connection_count() == 0;
      },
      "the old address to be left");
  const int asked_there = moved->request_count;
  load.more(50);
  CHECK(moved->request_count == asked_there);

  // The class goes, then the team, then the whole group: what is asked is declined or refused, each
  // once.
  CHECK(pushed(plane.contracts(6, {"save"}), "c6").empty());
  load.finals.clear();
  load.wait_until(
      [&] {
        return load.finals[ClientResult::Failed] > 0;
      },
      "the class to be gone");
  pb::Contracts others = plane.contracts(7);
  others.mutable_team(0)->set_name("others");
  CHECK(pushed(others, "c7").empty());
  load.more(20);
  CHECK(pushed(plane.contracts(8), "c8").empty());
  pb::Members none;
  none.set_generation(9), none.set_may_be_empty(true);
  CHECK(pushed(none, "m9").empty());
  load.more(10);
  load.rest();
  CHECK(service.push_and_answer(plane.members(10), "m10").empty());
  load.finals.clear(), load.resting = false;
  load.wait_until(
      [&] {
        return load.finals[ClientResult::Served] > 0;
      },
      "the group to be back");

  // 200 at once: each is answered, requests do not notice, the newest runs.
  std::vector<std::string> nonces;
  for (int i = 0; i < 200; ++i)
    nonces.push_back(service.push(plane.contracts(100 + static_cast<unsigned>(i)), "b"));
  load.more(50);
  for (const auto& nonce : nonces)
    CHECK(service.answer(nonce).empty());
  // Limits, in force for what is asked from now on.
  pb::Limits limits;
  limits.set_generation(1), limits.set_message_kib(64);
  CHECK(pushed(limits, "l1").empty());
  Request large = keyed_write("large");
  large.idempotency_key.assign(80 * 1024, 'k');
  const auto sender = plane.harness.connect_client();
  run_main_loop_for(60ms);  // a run waits 50 ms for the next
  sender->write(protocol.encode_request(large));
  load.wait_until(
      [&] {
        return sender->closed_by_gateway;
      },
      "the large one to be turned down");
  plane.harness.response_count -=
      static_cast<int>(sender->responses.size());  // it was never a request
  limits.set_generation(2), limits.set_message_kib(4);
  has(pushed(limits, "l2"), "message_kib: is out of range; give 64 to 16384");

  // 10,000 members more, in other groups; and a message over the bound.
  pb::Members many = plane.members(11);
  auto* crowd = &protocol == &mongo() ? many.mutable_mongo() : many.mutable_postgres();
  for (int i = 0; i < 10'000; ++i) {
    pb::Member& m = *crowd->Add();
    m.set_name("crowd-" + std::to_string(i)), m.set_group(1000 + static_cast<unsigned>(i) / 4);
    m.set_address("127.0.0.1:" + std::to_string(1 + i % 60000));
    m.set_state(pb::Member::DRAINING);
  }
  CHECK(pushed(many, "many").empty());
  CHECK(pushed(plane.members(12), "few").empty());
  const int streams = service.streams();
  for (int i = 0; i < 150'000; ++i)
    *crowd->Add() = crowd->at(3);
  service.push(many, "too-much");
  load.wait_until(
      [&] {
        return service.streams() > streams;
      },
      "a new stream");
  CHECK(plane.told("longer than 4 MiB"));
  load.rest();
  plane.harness.expect_invariants();
  CHECK(plane.harness.gateway.is_running());
}

// Types that refer to each other come in any order, or not at all. PostgreSQL's groups are known
// from the list.
void together(const Protocol& protocol) {
  Plane plane(protocol);
  Service service;
  plane.start({service.address()});
  wait_until(
      [&] {
        return service.heard().size() >= 3;
      },
      "the subscriptions");
  pb::Contracts contracts = plane.contracts(1);
  contracts.mutable_team(0)->add_group(0);
  contracts.mutable_team(0)->add_group(7);
  pb::Members members = plane.members(1);
  pb::Member& m = *members.add_postgres();
  m.set_name("far"), m.set_address("127.0.0.1:9"), m.set_group(7);
  has(service.answer(service.push(contracts, "alone")), "group 7 of team 'portal' has no member");
  contracts.set_generation(2);
  const std::string first = service.push(contracts, "c2");
  wait_until(
      [&] {
        return plane.told("config_version_pending");
      },
      "it to be held");
  CHECK(service.push_and_answer(members, "m1").empty() && service.answer(first).empty());
  has(service.push_and_answer(plane.members(2), "m2"), "group 7 of team 'portal' has no member");
  const auto client = plane.harness.connect_client();
  CHECK(client->send_and_await(read_request("fine")) == ClientResult::Served);
  plane.harness.expect_invariants();
}

// The service goes away in every way: each time it is noticed, what runs goes on, and it is found
// again.
void lost(const Protocol& protocol) {
  Plane plane(protocol);
  Service service;
  Cable cable(service.address());
  plane.start({cable.address()});
  Load load(plane.harness, 4);
  load.wait_until(
      [&] {
        return service.heard().size() >= 3;
      },
      "the subscriptions");
  CHECK(service.push_and_answer(plane.contracts(1), "c1").empty());
  std::uint64_t generation = 1;
  // In the midst of a frame's head, of a message's head, of a message, and right between two types
  // of a change.
  for (const std::size_t bytes : {4, 11, 40, 400}) {
    const int streams = service.streams();
    cable.cut_after(bytes);
    pb::Contracts half = plane.contracts(++generation);
    half.mutable_team(0)->mutable_class_(0)->set_tries(3);
    service.push(half, "half");
    service.push(plane.members(generation), "half");
    load.wait_until(
        [&] {
          return service.streams() > streams;
        },
        "a new stream");
    load.wait_until(
        [&] {
          return service.heard().back().nonce.empty() || service.streaming();
        },
        "it to subscribe");
    load.more(20);
    CHECK(service.push_and_answer(plane.contracts(++generation), "whole").empty());
  }
  // By silence: asked, and lost; then by status, and by going away.
  int streams = service.streams();
  cable.silence(true);
  load.wait_until(
      [&] {
        return plane.told("it is silent, also when asked");
      },
      "the silence to be noticed");
  cable.silence(false);
  load.wait_until(
      [&] {
        return service.streams() > streams;
      },
      "a new stream");
  CHECK(service.push_and_answer(plane.contracts(++generation), "again").empty());
  CHECK(plane.told("control_stream_restored"));
  streams = service.streams();
  service.end(14, "maintenance");
  load.wait_until(
      [&] {
        return service.streams() > streams;
      },
      "a new stream");
  CHECK(plane.told("it ended the call with status"));
  service.go_away();
  load.wait_until(
      [&] {
        return plane.told("Connection reset") || plane.told("closed by the peer") ||
               plane.told("goes away");
      },
      "the end to be noticed");
  load.more(50);
  CHECK(load.finals.size() == 1 && load.finals.count(ClientResult::Served));
  load.rest();
  plane.harness.expect_invariants();
}

// Two addresses, of which one lags: what is newer stays.
void lagging(const Protocol& protocol) {
  Plane plane(protocol);
  auto ahead = std::make_unique<Service>();
  Service behind;
  plane.start({ahead->address(), behind.address()});
  wait_until(
      [&] {
        return ahead->heard().size() >= 3;
      },
      "the subscriptions");
  CHECK(ahead->push_and_answer(plane.contracts(9), "c9").empty());
  ahead->go_away();
  wait_until(
      [&] {
        return behind.heard().size() >= 3 && behind.streaming();
      },
      "the other address");
  CHECK(behind.heard()[0].version == "c9");  // it is told what runs
  has(behind.push_and_answer(plane.contracts(8, {"save"}), "c8"), "generation 8 is older than 9");
  const auto client = plane.harness.connect_client();
  CHECK(client->send_and_await(read_request("fine")) == ClientResult::Served);
  plane.harness.expect_invariants();
}

// A peer that lies or floods: its connection ends, it is dialled again, and requests never notice.
void lies(const Protocol& protocol) {
  using namespace stand_in;
  const std::string start = settings_frame() + grpc_headers_frame();
  const std::string ping = frame(6, 0, 0, "12345678"), settings = frame(4, 0, 0, "");
  std::string pings, many_settings, headers = std::string("\x88", 1);
  for (int i = 0; i < 3000; ++i)
    pings += ping, many_settings += settings;
  for (int i = 0; i < 50; ++i)  // literals without indexing, 300 bytes each
    headers +=
        std::string("\x00\x03", 2) + "abc" + std::string("\x7f\xad\x01", 3) + std::string(300, 'v');

  const struct {
    std::string bytes;
    const char* words;
  } scripts[] = {
      {start + frame(0, 0, 1, std::string("\0\xff\xff\xff\xff", 5) + "x"), "longer than 4 MiB"},
      {start + frame(0, 0, 1, std::string("\1\0\0\0\1", 5) + "x"), "compressed"},
      {start + frame(0, 0, 1, std::string("\0\0\0\0\2", 5) + "\xff\xff"), "cannot be read"},
      {settings_frame() + frame(1, 4, 1, headers), "over 16 KiB"},
      {start + pings, "floods"},
      {start + many_settings, "floods"},
      {settings_frame() + frame(1, 5, 1, "\x8d"), "HTTP status 404"},
      {start + frame(7, 0, 0, std::string(8, '\0')), "goes away"},
      {"HTTP/1.1 400 Bad Request\r\n\r\n", "control_stream_lost"},
      {std::string(20000, '\xff'), "control_stream_lost"},
      {settings_frame() + frame(0, 0, 3, "nobody's"), "broke the rules"},
  };

  for (const auto& s : scripts) {
    Plane plane(protocol, 2);
    Script script(s.bytes);
    plane.start({script.address()});
    Load load(plane.harness, 2);
    load.wait_until(
        [&] {
          return script.connections() >= 2 && plane.told(s.words);
        },
        s.words);
    load.more(10);
    CHECK(load.finals.size() == 1 && load.finals.count(ClientResult::Served));
    load.rest();
    plane.harness.expect_invariants();
  }
}

// What was accepted rests on disk: a gateway that finds no service serves from it; a damaged, newer
// or unfit file is told of and passed over; a folder that is gone does not hold up serving.
void rests_on_disk(const Protocol& protocol) {
  const std::string folder = make_temporary_folder(), file = folder + "/last-good";
  const std::string state = "state_folder: '" + folder + "'\n";
  {
    Plane plane(protocol);
    Service service;
    plane.start({service.address()}, state);
    wait_until(
        [&] {
          return service.heard().size() >= 3;
        },
        "the subscriptions");
    CHECK(service.push_and_answer(plane.contracts(3, {"save"}), "c3").empty());
    wait_until(
        [&] {
          return access(file.c_str(), F_OK) == 0;
        },
        "the file");
    std::string output;
    CHECK(run_program({"config", "show", "--state", folder}, output) == 0);
    has(output, "# contracts: version c3, generation 3 (newest 3), from 127.0.0.1:");
    CHECK(access((file + ".new").c_str(), F_OK) != 0);
  }
  const auto serves = [&](ClientResult reads, const char* words) {
    Plane plane(protocol);
    plane.start({"127.0.0.1:9"}, state);
    wait_until(
        [&] {
          return plane.told(words);
        },
        words);
    const auto client = plane.harness.connect_client();
    CHECK(client->send_and_await(read_request("one")) == reads);
    plane.harness.expect_invariants();
  };
  serves(ClientResult::Failed,
         "snapshot_restored versions=\"contracts version c3\"");  // its team may only save
  std::string why;
  const auto good = gorsebeam::snapshot_store::load(folder, why);
  CHECK(good.has_value());
  const auto put = [&](const std::string& bytes) {
    std::ofstream(file, std::ios::binary) << bytes;
  };
  const std::string bytes = gorsebeam::snapshot_store::encode_snapshot(good.value());
  put(bytes.substr(0, bytes.size() - 3));
  serves(ClientResult::Served, "snapshot_rejected");
  std::string flipped = bytes;
  flipped[flipped.size() / 2] ^= 1;
  put(flipped);
  serves(ClientResult::Served, "it is damaged: its checksum does not fit");
  auto newer = *good;
  newer.set_schema(99);
  put(gorsebeam::snapshot_store::packed(newer));
  serves(ClientResult::Served, "newer than this program's");
  auto unfit = *good;
  unfit.mutable_contracts_value()->mutable_team(0)->mutable_class_(0)->set_name("gone");
  put(gorsebeam::snapshot_store::packed(unfit));
  serves(ClientResult::Served, "it does not fit here any more");
  unlink(file.c_str());
  unlink((file + ".new").c_str());    // of a program that was killed as it wrote
  CHECK(rmdir(folder.c_str()) == 0);  // and the folder is gone: told, and serving goes on
  Plane plane(protocol);
  Service service;
  plane.start({service.address()}, state);
  wait_until(
      [&] {
        return service.heard().size() >= 3;
      },
      "the subscriptions");
  CHECK(service.push_and_answer(plane.contracts(1), "c1").empty());
  wait_until(
      [&] {
        return plane.told("snapshot_write_failed");
      },
      "the complaint");
  const auto client = plane.harness.connect_client();
  CHECK(client->send_and_await(read_request("one")) == ClientResult::Served);
  plane.harness.expect_invariants();
}

// The second front moves while a request is open on it; the log becomes JSON; turning the front off
// is turned down.
void moves(const Protocol& protocol) {
  GatewayHarness harness(protocol, 2, 0);
  harness.start();
  const auto old = harness.connect_client();
  CHECK(old->send_and_await(read_request("one")) == ClientResult::Served);
  harness.script = {ScriptedResponse::NoResponse};
  old->send_request(read_request("open", 900));
  wait_until(
      [&] {
        return harness.attempts.back().request.id == "open";
      },
      "it to go out");
  harness.listen_host = "127.0.0.2";
  harness.write_operator_file("");
  harness.publish_inventory();
  CHECK(harness.gateway.log.find("listener_started protocol=MongoDB address=127.0.0.2:") !=
        std::string::npos);
  harness.update_address();
  const auto fresh = harness.connect_client();
  CHECK(fresh->send_and_await(read_request("two")) == ClientResult::Served);
  CHECK(old->await_response() == ClientResult::Rejected);
  CHECK(old->send_and_await(read_request("three")) ==
        ClientResult::Served);  // connections stay where they are
  harness.write_operator_file("log { format: JSON }");
  harness.gateway.send_signal(SIGHUP);
  wait_until(
      [&] {
        return harness.gateway.read_log(),
               harness.gateway.log.find("\"event\":\"reload_complete\"") != std::string::npos;
      },
      "a line in JSON");
  harness.expect_invariants();
}

// With no control service named, nothing is connected or written, state folder or not.
void off(const Protocol& protocol) {
  const std::string folder = make_temporary_folder();
  GatewayHarness harness(protocol, 2, 0, "state_folder: '" + folder + "'\n");
  harness.start();
  const auto client = harness.connect_client();
  for (int i = 0; i < 10; ++i)
    CHECK(client->send_and_await(read_request("r" + std::to_string(i))) == ClientResult::Served);
  harness.publish_inventory();
  CHECK(client->send_and_await(read_request("last")) == ClientResult::Served);
  CHECK(harness.gateway.log.find("control_stream") == std::string::npos &&
        harness.gateway.log.find("config_version") == std::string::npos &&
        harness.gateway.log.find("snapshot_") == std::string::npos);
  CHECK(rmdir(folder.c_str()) == 0);  // empty
  harness.expect_invariants();
}

}  // namespace

int main(int, char** arguments) {
  const std::map<std::string, void (*)(const Protocol&)> stories{
      {"versions", versions}, {"together", together}, {"lost", lost},
      {"lagging", lagging},   {"lies", lies},         {"rests_on_disk", rests_on_disk},
      {"off", off},           {"moves", moves}};
  const auto story = stories.find(arguments[1]);
  CHECK(story != stories.end());
  story->second(std::strcmp(arguments[2], "mongo") == 0 ? mongo() : postgres());
  std::printf("%s on %s: fine\n", arguments[1], arguments[2]);
}
