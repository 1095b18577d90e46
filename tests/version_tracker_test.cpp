#include "config_versions/version_tracker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam::config_versions {
namespace {
using Ran = config_versions::Run;  // the tests' base has a Run of its own
constexpr Nanos ms = 1'000'000;

// A body is a number; contracts fit where the number that they refer to is at most the members'.
Body body(int value) {
  return std::make_shared<const int>(value);
}

int value(const Body& body) {
  return *static_cast<const int*>(body.get());
}

std::optional<Misfit> fits(const Bodies& bodies) {
  if (value(bodies[0]) <= value(bodies[1]))
    return std::nullopt;
  return Misfit{"group " + std::to_string(value(bodies[0])) + " has no member", true};
}

std::array<Version, kTypes> from_file(int contracts = 0, int members = 0) {
  std::array<Version, kTypes> file;
  const int values[] = {contracts, members, 0};
  for (std::size_t i = 0; i < kTypes; ++i)
    file[i].body = body(values[i]), file[i].print = 1000 + values[i];
  return file;
}

Offer offer(Type type, std::uint64_t generation, int content, std::uint64_t rolls_back = 0) {
  static int nonce = 0;
  Offer o;
  o.type = type, o.type_url = name_of(type);
  o.nonce = std::to_string(++nonce), o.version = "v" + std::to_string(generation);
  o.generation = generation, o.rolls_back = rolls_back;
  o.print = static_cast<std::uint64_t>(content), o.body = body(content);
  return o;
}

struct Bench {
  Settings settings;
  std::unique_ptr<Machine> machine;
  Actions actions;
  Nanos now = 1000 * ms;

  explicit Bench(std::size_t addresses = 2) {
    for (std::size_t i = 0; i < addresses; ++i)
      settings.addresses.push_back("a" + std::to_string(i));
    machine = std::make_unique<Machine>(settings, fits);
    machine->file_at_start(from_file());
  }

  void begin() { machine->begin(now, actions); }

  void up() {
    begin();
    machine->connected(now, actions);
    actions.clear();
  }

  template <typename A>
  std::vector<A> take() {
    std::vector<A> found;
    for (const Action& action : actions)
      if (const auto* a = std::get_if<A>(&action))
        found.push_back(*a);
    actions.clear();
    return found;
  }

  // The one answer to an offer: empty where it was accepted, "?" where there was none.
  std::string answer(const Offer& o) {
    machine->offered(now, o, actions);
    return answer_to(o);
  }

  std::string answer_to(const Offer& o) {
    std::string text = "?";
    for (const Action& action : actions) {
      const auto* ask = std::get_if<Ask>(&action);
      if (!ask || ask->nonce != o.nonce)
        continue;
      EXPECT_EQ(text, "?");
      text = ask->error;
    }
    return text;
  }

  void pass(Nanos time) {
    now += time;
    machine->tick(now, actions);
  }

  int runs(Type type) const { return value(machine->kept(type).running.body); }
};

TEST(Versions, OlderIsTurnedDownAndARollbackNamesWhatItTakesBack) {
  Bench b;
  b.up();
  EXPECT_EQ(b.answer(offer(Type::Limits, 0, 1)), "it has no generation; number changes from 1");
  EXPECT_EQ(b.answer(offer(Type::Limits, 5, 1)), "");
  EXPECT_EQ(b.answer(offer(Type::Limits, 7, 2)), "");
  EXPECT_EQ(b.answer(offer(Type::Limits, 7, 2)), "");  // the same again, as after a reconnect
  EXPECT_EQ(b.answer(offer(Type::Limits, 7, 3)), "generation 7 came before with other content");
  EXPECT_EQ(b.answer(offer(Type::Limits, 5, 1)),
            "generation 5 is older than 7, the newest accepted");
  EXPECT_EQ(b.answer(offer(Type::Limits, 5, 1, 6)),
            "it rolls back generation 6, but 7 is the newest accepted");
  EXPECT_EQ(b.runs(Type::Limits), 2);
  EXPECT_EQ(b.answer(offer(Type::Limits, 5, 1, 7)), "");
  EXPECT_EQ(b.machine->kept(Type::Limits).newest, 7u);
  // An address that lags goes on offering what was taken back.
  EXPECT_EQ(b.answer(offer(Type::Limits, 7, 2)), "generation 7 was rolled back");
  EXPECT_EQ(b.answer(offer(Type::Limits, 6, 4)),
            "generation 6 is older than 7, the newest accepted");
  EXPECT_EQ(b.answer(offer(Type::Limits, 5, 1)), "");
  EXPECT_EQ(b.answer(offer(Type::Limits, 8, 4)), "");
  b.pass(50 * ms);
  EXPECT_EQ(b.runs(Type::Limits), 4);
}

TEST(Versions, TypesThatReferToEachOtherRunTogetherOrNotAtAll) {
  Bench b;
  b.up();
  const Offer contracts = offer(Type::Contracts, 1, 3), members = offer(Type::Members, 1, 3);
  EXPECT_EQ(b.answer(contracts), "?");  // waits for the members that it names
  EXPECT_TRUE(b.take<Ran>().empty());
  b.machine->offered(b.now, members, b.actions);
  EXPECT_EQ(b.answer_to(contracts), "");
  EXPECT_EQ(b.answer_to(members), "");
  b.pass(50 * ms);
  for (const Ran& run : b.take<Ran>()) {
    EXPECT_EQ(value(run.bodies[0]), 3);
    EXPECT_EQ(value(run.bodies[1]), 3);
  }
  EXPECT_EQ(b.runs(Type::Contracts), 3);
  // Members that contracts in force still name cannot go before the contracts do.
  const Offer fewer = offer(Type::Members, 2, 1);
  EXPECT_EQ(b.answer(fewer), "?");
  b.pass(b.settings.hold - 1);
  EXPECT_EQ(b.answer_to(fewer), "?");
  b.pass(1);
  EXPECT_EQ(b.answer_to(fewer), "group 3 has no member; nothing brought it in time");
  EXPECT_EQ(b.runs(Type::Members), 3);
  // What waits gives way to the next of its type, and each is answered.
  const Offer first = offer(Type::Contracts, 4, 8), second = offer(Type::Contracts, 5, 2);
  EXPECT_EQ(b.answer(first), "?");
  EXPECT_EQ(b.answer(second), "");
  EXPECT_NE(b.answer_to(first), "?");
  EXPECT_NE(b.answer_to(first), "");
}

TEST(Versions, ABadOneIsTurnedDownAndWhatRunsGoesOn) {
  Bench b;
  b.up();
  EXPECT_EQ(b.answer(offer(Type::Members, 1, 5)), "");
  Offer bad = offer(Type::Members, 2, 6);
  bad.fault = "team[1].name: stands twice";
  EXPECT_EQ(b.answer(bad), bad.fault);
  Offer strange = offer(Type::Members, 3, 6);
  strange.type.reset(), strange.type_url = "other";
  EXPECT_EQ(b.answer(strange), "type other is not known here");
  EXPECT_EQ(b.runs(Type::Members), 5);
}

TEST(Versions, ABurstRunsAsOneAndEachIsAnswered) {
  Bench b;
  b.up();
  b.pass(100 * ms);
  b.actions.clear();
  for (int i = 1; i <= 200; ++i) {
    EXPECT_EQ(b.answer(offer(Type::Limits, static_cast<std::uint64_t>(i), i)), "");
    b.pass(5 * ms);
  }
  b.pass(50 * ms);
  const std::vector<Ran> runs = b.take<Ran>();
  EXPECT_LE(runs.size(), 22u);  // a second, at 50 ms apart
  EXPECT_EQ(value(runs.back().bodies[2]), 200);
}

TEST(Versions, ASilentServiceIsAskedAndThenLostAndTheNextAddressIsTried) {
  Bench b;
  b.begin();
  EXPECT_EQ(b.take<Dial>().at(0).address, "a0");
  b.pass(b.settings.dial_most);
  EXPECT_EQ(b.take<HangUp>().size(), 1u);  // never up
  EXPECT_LE(b.machine->due(), b.now + b.settings.reconnect_first);
  b.pass(b.machine->due() - b.now);
  EXPECT_EQ(b.take<Dial>().at(0).address, "a1");
  b.machine->connected(b.now, b.actions);
  EXPECT_EQ(b.take<Ask>().size(), kTypes);
  b.pass(b.settings.silence);
  EXPECT_EQ(b.take<Ping>().size(), 1u);
  b.machine->heard(b.now);  // the answer to it
  b.pass(b.settings.silence);
  EXPECT_EQ(b.take<Ping>().size(), 1u);
  b.pass(b.settings.silence);
  EXPECT_EQ(b.take<HangUp>().size(), 1u);
  EXPECT_FALSE(b.machine->streaming());
}

TEST(Versions, WaitsGrowByFullJitterUpToABoundAndAGoodVersionResetsThem) {
  Bench b(1);
  b.begin();
  Nanos longest = 0;
  std::set<Nanos> drawn;
  for (int i = 0; i < 200; ++i) {
    b.machine->lost(b.now, "refused", b.actions);
    const Nanos wait = b.machine->due() - b.now;
    EXPECT_LE(wait, std::min<Nanos>(b.settings.reconnect_most,
                                    b.settings.reconnect_first << std::min(i, 20)));
    longest = std::max(longest, wait), drawn.insert(wait);
    b.pass(wait);
  }
  EXPECT_GT(longest, b.settings.reconnect_most / 2);
  EXPECT_GT(drawn.size(), 150u);
  b.machine->connected(b.now, b.actions);
  EXPECT_EQ(b.answer(offer(Type::Limits, 1, 1)), "");
  b.machine->lost(b.now, "reset", b.actions);
  EXPECT_LE(b.machine->due() - b.now, b.settings.reconnect_first);
}

TEST(Versions, TheDiskServesWhereItIsNotOlderThanTheFileAndFits) {
  std::array<std::optional<Kept>, kTypes> kept;
  kept[0] = Kept{from_file(4)[0], 9};
  kept[0]->running.generation = 9, kept[0]->running.version = "v9", kept[0]->running.source = "a0";
  Bench alone;
  EXPECT_EQ(alone.machine->stored(kept), "group 4 has no member");  // all or none
  EXPECT_EQ(alone.runs(Type::Contracts), 0);
  Bench both;
  kept[1] = Kept{from_file(0, 4)[1], 2};
  kept[1]->running.source = "a0";
  EXPECT_EQ(both.machine->stored(kept), "");
  both.begin();
  EXPECT_EQ(value(both.take<Ran>().at(0).bodies[0]), 4);
  both.machine->connected(both.now, both.actions);
  EXPECT_EQ(both.take<Ask>().at(0).version, "v9");
  EXPECT_EQ(both.answer(offer(Type::Contracts, 8, 1)),
            "generation 8 is older than 9, the newest accepted");
  // The file read again: what was pushed stays until the file's is numbered newer.
  auto file = from_file(1, 1);
  file[0].generation = 9;
  EXPECT_EQ(both.machine->file(both.now, file, both.actions), "");
  EXPECT_EQ(both.runs(Type::Contracts), 4);
  file[0].generation = 10, file[1].generation = 3;
  EXPECT_EQ(both.machine->file(both.now, file, both.actions), "");
  EXPECT_EQ(both.runs(Type::Contracts), 1);
}

TEST(Versions, WithNoServiceNothingIsDialledAndNothingFallsDue) {
  Bench b(0);
  b.begin();
  EXPECT_TRUE(b.take<Dial>().empty());
  EXPECT_EQ(b.machine->due(), Machine::kNever);
  Settings settings;
  settings.addresses = {"new"};
  b.machine->follow(b.now, settings, b.actions);
  EXPECT_EQ(b.take<Dial>().at(0).address, "new");
}

// Every sequence of events up to a depth, with the invariants of versions.h after each step.
class Walk {
public:
  std::size_t sequences = 0;

  void from(const std::vector<int>& path, std::size_t depth) {
    play(path);
    ++sequences;
    if (path.size() == depth)
      return;
    for (int event = 0; event < kEvents; ++event) {
      std::vector<int> longer = path;
      longer.push_back(event);
      from(longer, depth);
    }
  }

private:
  static constexpr int kEvents = 9;

  void play(const std::vector<int>& path) {
    Bench b(2);
    b.begin();
    std::map<std::string, int> answers;  // by nonce
    std::set<std::string> open;          // offered on this stream, not yet answered
    std::map<std::string, Offer> offers;
    std::array<std::uint64_t, kTypes> newest{};
    std::array<std::uint64_t, kTypes> running{};
    const auto check = [&] {
      for (const Action& action : b.actions) {
        if (const auto* ask = std::get_if<Ask>(&action)) {
          if (ask->nonce.empty())
            continue;
          ASSERT_TRUE(open.count(ask->nonce)) << "an answer twice, or on another stream";
          open.erase(ask->nonce);
          if (!ask->error.empty())
            continue;
          const Offer& o = offers.at(ask->nonce);
          const auto t = static_cast<std::size_t>(*o.type);
          // Nothing older replaces newer without a rollback that names the newest.
          ASSERT_TRUE(o.generation >= newest[t] || o.rolls_back >= newest[t] ||
                      o.generation == running[t]);
          newest[t] = std::max(newest[t], o.generation);
          running[t] = o.generation;
        }
        if (const auto* run = std::get_if<Ran>(&action)) {
          ASSERT_FALSE(fits(run->bodies));  // whole, and fits together
        }
      }
      b.actions.clear();
      ASSERT_FALSE(fits({b.machine->kept(Type::Contracts).running.body,
                         b.machine->kept(Type::Members).running.body,
                         b.machine->kept(Type::Limits).running.body}));
      if (!b.machine->streaming()) {
        open.clear();
        ASSERT_LE(b.machine->due(), b.now + b.settings.reconnect_most);  // it comes back
      }
    };
    const auto give = [&](const Offer& o) {
      if (b.machine->streaming())
        open.insert(o.nonce), offers[o.nonce] = o;
      b.machine->offered(b.now, o, b.actions);
    };
    check();
    for (const int event : path) {
      switch (event) {
      case 0:
        b.machine->connected(b.now, b.actions);
        break;
      case 1:
        b.machine->lost(b.now, "reset", b.actions);
        break;
      case 2:
        b.pass(std::max<Nanos>(0, std::min(b.machine->due(), b.now + 1000 * ms) - b.now));
        break;
      case 3:
        give(offer(Type::Contracts, 1, 1));
        break;
      case 4:
        give(offer(Type::Contracts, 2, 2));
        break;
      case 5:
        give(offer(Type::Contracts, 1, 1, 2));
        break;
      case 6:
        give(offer(Type::Members, 1, 1));
        break;
      case 7:
        give(offer(Type::Members, 2, 2));
        break;
      default: {
        Offer bad = offer(Type::Members, 3, 0);
        bad.fault = "bad";
        give(bad);
      }
      }
      check();
      if (::testing::Test::HasFatalFailure()) {
        for (const int e : path)
          std::printf("%d ", e);
        return;
      }
    }
    // At the end all that a stream offered is answered once, if it lasts.
    for (int i = 0; i < 4 && b.machine->streaming(); ++i)
      b.machine->heard(b.now), b.pass(b.settings.hold), check();
    if (b.machine->streaming()) {
      ASSERT_TRUE(open.empty());
    }
  }
};

TEST(Versions, AllSequencesOfEventsKeepTheInvariants) {
  Walk walk;
  walk.from({0}, 6);  // connected first: the rest is walked from there
  EXPECT_EQ(walk.sequences, 66430u);
  Walk early;
  early.from({}, 3);
}

// A hash over every action of drawn histories, field by field. It pins the decisions: a change of
// names or structure leaves it as it is.
class ActionDigest {
public:
  [[nodiscard]] std::uint64_t value() const { return value_; }

  void add(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8)
      add_byte(static_cast<unsigned char>(number >> shift & 0xff));
  }

  void add(const std::string& text) {
    add(static_cast<std::uint64_t>(text.size()));
    for (const char c : text)
      add_byte(static_cast<unsigned char>(c));
  }

  void add(const std::optional<Type>& type) {
    add(type ? static_cast<std::uint64_t>(*type) : std::uint64_t{99});
  }

  void add(const Action& action) {
    add(static_cast<std::uint64_t>(action.index()));
    std::visit(
        [this](const auto& content) {
          add_fields(content);
        },
        action);
  }

  void add(const Machine& machine) {
    for (const Type type : {Type::Contracts, Type::Members, Type::Limits}) {
      const Kept& kept = machine.kept(type);
      add(kept.newest);
      add(static_cast<std::uint64_t>(value_of(kept.running.body)));
      add(kept.running.version);
      add(kept.running.generation);
      add(kept.running.print);
      add(kept.running.source);
      add(static_cast<std::uint64_t>(kept.running.accepted_at));
    }
    add(static_cast<std::uint64_t>(machine.due()));
    add(static_cast<std::uint64_t>(machine.streaming()));
    add(machine.address());
  }

private:
  void add_byte(unsigned char byte) {  // FNV-1a
    value_ ^= byte;
    value_ *= 0x100000001b3ULL;
  }

  static int value_of(const Body& body) { return *static_cast<const int*>(body.get()); }

  void add_fields(const Dial& dial) { add(dial.address); }

  void add_fields(const HangUp&) {}

  void add_fields(const Ping&) {}

  void add_fields(const Ask& ask) {
    add(ask.type);
    add(ask.type_url);
    add(ask.version);
    add(ask.nonce);
    add(ask.error);
  }

  void add_fields(const Ran& run) {
    for (std::size_t i = 0; i < kTypes; ++i) {
      add(static_cast<std::uint64_t>(value_of(run.bodies[i])));
      add(static_cast<std::uint64_t>(run.changed[i]));
    }
  }

  void add_fields(const Store&) {}

  void add_fields(const Note& note) {
    add(static_cast<std::uint64_t>(note.kind));
    add(note.type);
    add(note.version);
    add(note.nonce);
    add(note.text);
  }

  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

// Plays drawn events against one machine and adds each action and the state after each event.
class DrawnHistory {
public:
  DrawnHistory(std::uint64_t seed, ActionDigest& digest) : random_(seed + 1), digest_(digest) {
    settings_.seed = seed;
    for (std::uint64_t i = draw(4); i > 0; --i)
      settings_.addresses.push_back("a" + std::to_string(i));
    machine_ = std::make_unique<Machine>(settings_, judge);
  }

  void play(int events) {
    machine_->file_at_start(drawn_file());
    if (draw(2) == 0)
      digest_.add(machine_->stored(drawn_snapshot()));
    machine_->begin(now_, actions_);
    record();
    for (int i = 0; i < events; ++i) {
      play_event();
      record();
    }
  }

private:
  // As fits(), and limits above 6 fit with nothing.
  static std::optional<Misfit> judge(const Bodies& bodies) {
    if (value(bodies[2]) > 6)
      return Misfit{"limits " + std::to_string(value(bodies[2])) + " are too high", false};
    return fits(bodies);
  }

  std::uint64_t draw(std::uint64_t bound) {  // splitmix64
    random_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = random_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return (z ^ (z >> 31)) % bound;
  }

  Version drawn_version() {
    Version version;
    const int content = static_cast<int>(draw(5));
    version.body = body(content);
    version.print = static_cast<std::uint64_t>(content);
    version.generation = draw(2) == 0 ? 0 : draw(8);
    return version;
  }

  std::array<Version, kTypes> drawn_file() {
    std::array<Version, kTypes> file;
    for (Version& version : file)
      version = drawn_version();
    return file;
  }

  std::array<std::optional<Kept>, kTypes> drawn_snapshot() {
    std::array<std::optional<Kept>, kTypes> snapshot;
    for (std::optional<Kept>& kept : snapshot) {
      if (draw(3) == 0)
        continue;
      kept = Kept{};
      kept->running = drawn_version();
      kept->running.version = "s" + std::to_string(draw(9));
      kept->running.source = "a1";
      kept->newest = kept->running.generation + draw(2);
    }
    return snapshot;
  }

  Offer drawn_offer() {
    Offer drawn;
    const std::uint64_t type = draw(16);
    if (type < 15)
      drawn.type = static_cast<Type>(type % kTypes);
    drawn.type_url = "u" + std::to_string(type % kTypes);
    drawn.nonce = "n" + std::to_string(++nonces_);
    drawn.version = "v" + std::to_string(draw(20));
    drawn.generation = next_generation_ + draw(4);
    if (draw(3) == 0)
      ++next_generation_;
    if (draw(5) == 0)
      drawn.rolls_back = next_generation_ + draw(4);
    const int content = static_cast<int>(draw(8));
    drawn.body = body(content);
    drawn.print = static_cast<std::uint64_t>(content);
    if (draw(12) == 0)
      drawn.fault = "fault " + std::to_string(draw(5));
    return drawn;
  }

  void play_event() {
    switch (draw(16)) {
    case 0:
    case 1:
    case 2:
      return machine_->connected(now_, actions_);
    case 3:
      return machine_->lost(now_, "reset " + std::to_string(draw(3)), actions_);
    case 4:
      return machine_->heard(now_);
    case 5:
      digest_.add(machine_->file(now_, drawn_file(), actions_));
      return;
    case 6:
      return follow();
    case 7:
    case 8:
      now_ = std::max(now_, std::min(machine_->due(), now_ + 60'000 * ms));
      return machine_->tick(now_, actions_);
    case 9:
    case 10:
      now_ += static_cast<Nanos>(draw(200)) * ms;
      return machine_->tick(now_, actions_);
    default:
      return machine_->offered(now_, drawn_offer(), actions_);
    }
  }

  void follow() {
    if (draw(4) == 0)
      settings_.addresses.assign(draw(3), "b" + std::to_string(draw(9)));
    settings_.hold = static_cast<Nanos>(1000 + draw(3000)) * ms;
    settings_.silence = static_cast<Nanos>(5000 + draw(5000)) * ms;
    machine_->follow(now_, settings_, actions_);
  }

  void record() {
    for (const Action& action : actions_)
      digest_.add(action);
    actions_.clear();
    digest_.add(*machine_);
  }

  std::uint64_t random_;
  ActionDigest& digest_;
  Settings settings_;
  std::unique_ptr<Machine> machine_;
  Actions actions_;
  Nanos now_ = 1000 * ms;
  std::uint64_t nonces_ = 0;
  std::uint64_t next_generation_ = 0;
};

TEST(Versions, DrawnHistoriesGiveTheRecordedActions) {
  constexpr std::uint64_t kSeeds = 2000;
  constexpr int kEventsPerSeed = 200;
  ActionDigest digest;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed)
    DrawnHistory(seed, digest).play(kEventsPerSeed);
  EXPECT_EQ(digest.value(), 12568706761982383764u);
}

}  // namespace
}  // namespace gorsebeam::config_versions
