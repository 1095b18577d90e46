// A fleet in virtual time: voters, holders, their disks, clocks and network drawn by a seed, faults
// by a schedule, and an auditor that knows what was sent, applied and done, and nothing of how it
// was decided.
//
//   simulation SEEDS [FIRST]      so many seeds; the first that breaks a rule prints a script
//   simulation --script FILE      that script again
//   simulation --digest SEEDS     a hash over all that is sent and done, of seeds 0 to SEEDS - 1
//   simulation --cost GATEWAYS    messages a second with nothing going wrong, leader and others
//   apart simulation --saboteurs SEEDS  each deliberately broken embedder is caught within so many
//   seeds
#include "event_digest.h"
#include "leases/leases.h"
#include "raft/node.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace gorsebeam;
using raft::Nanos;

namespace {

constexpr Nanos kMs = 1'000'000, kLease = 1000 * kMs;
constexpr Nanos kFaultsEnd = 6000 * kMs, kEnd = kFaultsEnd + 8 * kLease;
constexpr std::int64_t kDrift = 2000;  // ppm

enum class Sabotage {
  None,
  PromisesUnsaved,
  VotesAfterLoss,
  LeadsAtOnce,
  ClockOff,
  FenceOff,
  Last
};
const char* const kNames[] = {"none",          "promises-unsaved", "votes-after-loss",
                              "leads-at-once", "clock-off",        "fence-off"};

struct Fault {
  Nanos at = 0;
  std::string kind;  // kill, wipe (and kill), start, stall, wake, cut (from a to b), heal, disk
                     // (fails from a on), mend
  int a = 0, b = 0;
};

struct Script {
  std::uint64_t seed = 1;
  int voters = 3, gateways = 5;
  std::vector<Fault> faults;
};

struct Broken {
  std::string rule;
};

class World {
public:
  World(const Script& script, Sabotage sabotage)
      : script_(script), sabotage_(sabotage), random_(script.seed) {
    for (int i = 0; i < script_.gateways; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      Node& node = *nodes_.back();
      node.number = i;
      node.name = "g" + std::to_string(i);
      node.voter = i < script_.voters;
      const std::int64_t drift = sabotage_ == Sabotage::ClockOff ? 300'000 : kDrift;
      node.rate = 1 + 1e-6 * double(between(-drift, drift)) * 0.999;
      node.offset = between(0, 1'000'000) * kMs;
      if (node.voter)
        voters_.push_back(node.name);
    }
    for (const auto& node : nodes_)
      start(*node);
    for (const Fault& fault : script_.faults)
      later(fault.at, [this, fault] {
        inject(fault);
      });
  }

  void run() {
    while (!queue_.empty() && queue_.top().at <= kEnd) {
      const Due due = queue_.top();
      queue_.pop();
      now_ = due.at;
      due.what();
    }
    // Progress: faults ended long ago, so each duty is done by somebody.
    std::size_t able = 0;
    for (const auto& node : nodes_)
      able += node->voter && !node->wiped;
    if (able < std::size_t(script_.voters / 2 + 1))
      return;
    for (const std::string& duty : settings_.duties)
      if (done_at_[duty] < kEnd - 2 * kLease)
        throw Broken{"progress: nobody does " + duty};
  }

  simulation::EventDigest digest;
  double leader_sent = 0, others_sent = 0;  // messages between gateways
  std::uint64_t acts = 0, turned_down = 0;
  std::vector<Nanos> gaps;  // from a holder's last act under one token to the first under the next

private:
  struct Node {
    int number = 0;
    std::string name;
    bool voter = false, alive = false, stalled = false, disk_fails = false, wiped = false;
    double rate = 1;
    Nanos offset = 0;
    std::uint64_t start = 0;  // counts starts: what belongs to an earlier one is dropped
    std::unique_ptr<raft::Node> voted;
    std::optional<raft::PersistentState> disk;
    leases::Table table;
    std::unique_ptr<leases::Keeper> keeper;
    std::unique_ptr<leases::Holder> holder;
    Nanos voter_due = 0, keeper_due = 0, holder_due = 0;  // the due times that are waited for
    std::string answered_by;                              // who is asked first
    bool asked_in_vain = true;
    std::vector<std::function<void()>> waiting;  // while stalled

    Nanos local(Nanos at) const { return offset + Nanos(double(at) * rate); }

    Nanos real(Nanos at) const {
      return Nanos(double(at - offset) / rate) + 1000;
    }  // a loop wakes late, never early
  };

  struct Due {
    Nanos at;
    std::uint64_t order;
    std::function<void()> what;

    bool operator<(const Due& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  Nanos between(Nanos least, Nanos most) {
    return std::uniform_int_distribution<Nanos>(least, most)(random_);
  }

  bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }

  void later(Nanos at, std::function<void()> what) {
    queue_.push({std::max(at, now_), order_++, std::move(what)});
  }

  Node& named(const std::string& name) {
    return **std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return node->name == name;
    });
  }

  // On that start of the node, as soon as it runs.
  void on(Node& node, Nanos at, std::function<void()> what) {
    const std::uint64_t start = node.start;
    later(at, [this, &node, start, what = std::move(what)] {
      if (!node.alive || node.start != start)
        return;
      if (node.stalled)
        return node.waiting.push_back(what);
      what();
    });
  }

  void start(Node& node) {
    ++node.start;
    node.alive = true, node.stalled = false;
    node.waiting.clear();
    node.table = {};
    settings_.seed = random_();
    node.keeper = std::make_unique<leases::Keeper>(settings_);
    node.holder = std::make_unique<leases::Holder>(
        settings_, node.name + "~" + std::to_string(node.start), node.number % 2 ? "east" : "west");
    node.voter_due = node.keeper_due = node.holder_due = 0;
    holder(node, [](auto& holder, Nanos now, auto&) {
      holder.begin(now);
    });
    act(node);
    if (!node.voter)
      return;
    raft::Settings settings;
    settings.self = node.name, settings.voters = voters_, settings.random_seed = random_();
    settings.heartbeat_interval = 100 * kMs, settings.min_election_timeout = 400 * kMs,
    settings.max_log_entries = 8;
    auto kept = node.disk;
    if (!kept && node.start > 1 && sabotage_ == Sabotage::VotesAfterLoss)
      kept = raft::PersistentState{};
    node.voted = std::make_unique<raft::Node>(settings, kept);
    voter(node, [](auto& voter, Nanos now, auto& actions) {
      voter.start(now, actions);
    });
  }

  // ---- the voter

  using VoterEvent = std::function<void(raft::Node&, Nanos, raft::Actions&)>;
  using KeeperEvent = std::function<void(leases::Keeper&, Nanos, leases::KeeperActions&)>;
  using HolderEvent = std::function<void(leases::Holder&, Nanos, leases::HolderActions&)>;

  void voter(Node& node, const VoterEvent& event) {
    raft::Actions actions;
    event(*node.voted, node.local(now_), actions);
    for (const raft::Action& action : actions) {
      digest.add_event(now_, node.number);
      digest.add(action);
      perform(node, action);
    }
    arm(node, node.voted, node.voter_due, [this](Node& due) {
      voter(due, [](auto& voter, Nanos now, auto& out) {
        voter.tick(now, out);
      });
    });
  }

  void perform(Node& node, const raft::Action& action) {
    if (const auto* send = std::get_if<raft::SendMessage>(&action)) {
      const raft::Message message = send->message;
      ++(node.voted->role() == raft::Role::Leader ? leader_sent : others_sent);
      Node& to = named(message.to);
      travel(node, to, [this, &to, message] {
        voter(to, [&](auto& voter, Nanos now, auto& out) {
          voter.handle_message(now, message, out);
        });
      });
    } else if (const auto* save = std::get_if<raft::PersistState>(&action)) {
      write(node, *save);
    } else if (const auto* apply = std::get_if<raft::ApplyEntry>(&action)) {
      agree(apply->entry);
      const std::string duty = node.table.apply(apply->entry.index, apply->entry.command);
      state(apply->entry.index, node.table.packed());
      if (!duty.empty())
        node.keeper->applied(node.local(now_), duty);
      if (node.voted->role() == raft::Role::Leader &&
          apply->entry.term == node.voted->current_term() && apply->entry.command.empty()) {
        const Nanos lie = sabotage_ == Sabotage::LeadsAtOnce ? 2 * kLease : 0;
        keeper(node, [&](auto& keeper, Nanos now, auto&) {
          keeper.lead(now - lie, node.table);
        });
      }
    } else if (const auto* restore = std::get_if<raft::RestoreSnapshot>(&action)) {
      const auto table = leases::Table::unpacked(restore->snapshot.state);
      if (!table)
        throw Broken{"a snapshot that cannot be read"};
      node.table = *table;
      state(restore->snapshot.index, node.table.packed());
    } else if (std::get_if<raft::RequestSnapshot>(&action)) {
      voter(node, [&](auto& voter, Nanos, auto& out) {
        voter.compact_log(node.table.packed(), out);
      });
    } else if (const auto* became = std::get_if<raft::RoleChanged>(&action)) {
      if (became->role == raft::Role::Leader) {
        const auto [held, fresh] = leaders_.emplace(became->term, node.number);
        if (!fresh && held->second != node.number)
          throw Broken{"two leaders in term " + std::to_string(became->term)};
      } else {
        node.keeper->stop();
      }
    } else if (const auto* confirmed = std::get_if<raft::LeadershipConfirmed>(&action)) {
      keeper(node, [&](auto& keeper, Nanos now, auto& out) {
        keeper.confirmed(now, confirmed->heartbeat_round, out);
      });
    }
  }

  // Whole or not at all: a crash leaves the newest that was done.
  void write(Node& node, const raft::PersistState& save) {
    const bool fails = node.disk_fails;
    const Nanos took = between(1, 25) * kMs;
    node_disk_at_[node.number] = std::max(node_disk_at_[node.number], now_) + took;
    if (sabotage_ == Sabotage::PromisesUnsaved)
      on(node, now_, [this, &node, number = save.number] {
        saved(node, number);
      });
    const std::uint64_t start = node.start;
    later(node_disk_at_[node.number], [this, &node, save, fails, start] {
      if (!node.alive || node.start != start)
        return;
      if (!fails)
        node.disk = save.state;  // also while the process is stopped
      if (sabotage_ == Sabotage::PromisesUnsaved)
        return;
      on(node, now_, [this, &node, fails, number = save.number] {
        if (!fails)
          return saved(node, number);
        voter(node, [](auto& voter, Nanos now, auto& out) {
          voter.handle_persist_failure(now, out);
        });
      });
    });
  }

  void saved(Node& node, std::uint64_t number) {
    voter(node, [&](auto& voter, Nanos now, auto& out) {
      voter.handle_persisted(now, number, out);
    });
  }

  // ---- duties

  void keeper(Node& node, const KeeperEvent& event) {
    leases::KeeperActions actions;
    event(*node.keeper, node.local(now_), actions);
    arm(node, node.keeper, node.keeper_due, [this](Node& due) {
      keeper(due, [](auto& keeper, Nanos now, auto& out) {
        keeper.tick(now, out);
      });
    });
    for (const leases::KeeperAction& action : actions) {
      digest.add_event(now_, node.number);
      digest.add(action);
      if (const auto* propose = std::get_if<leases::Propose>(&action)) {
        voter(node, [&](auto& voter, Nanos, auto& out) {
          voter.propose(propose->body, out);
        });
      } else if (std::get_if<leases::Confirm>(&action)) {
        std::uint64_t number = 0;
        voter(node, [&](auto& voter, Nanos, auto& out) {
          number = voter.confirm_leadership(out).value_or(0);
        });
        node.keeper->confirming(number);
      } else if (const auto* answer = std::get_if<leases::Answer>(&action)) {
        Node& to = named(leases::name_of(answer->to));
        ++leader_sent;
        travel(node, to, [this, &to, from = node.name, answer = *answer] {
          to.answered_by = from, to.asked_in_vain = false;
          holder(to, [&](auto& holder, Nanos now, auto& out) {
            holder.answered(now, answer, out);
          });
        });
      }
    }
  }

  void holder(Node& node, const HolderEvent& event) {
    leases::HolderActions actions;
    event(*node.holder, node.local(now_), actions);
    arm(node, node.holder, node.holder_due, [this](Node& due) {
      holder(due, [](auto& holder, Nanos now, auto& out) {
        holder.tick(now, out);
      });
    });
    for (const leases::HolderAction& action : actions) {
      digest.add_event(now_, node.number);
      digest.add(action);
      const auto* ask = std::get_if<leases::Ask>(&action);
      if (!ask)
        continue;
      const bool all = std::exchange(node.asked_in_vain,
                                     true);  // who answered last is asked alone while it answers
      for (const auto& to : nodes_) {
        if (!to->voter || (!all && to->name != node.answered_by))
          continue;
        ++others_sent;
        travel(node, *to, [this, &to = *to, ask = *ask] {
          keeper(to, [&](auto& keeper, Nanos now, auto&) {
            keeper.asked(now, ask);
          });
        });
      }
    }
  }

  static Nanos deadline_of(const raft::Node& node) { return node.next_deadline(); }

  template <typename Part>
  static Nanos deadline_of(const Part& part) {
    return part.due();
  }

  // What falls due, once for each time that is due.
  template <typename Part, typename Event>
  void arm(Node& node, Part& part, Nanos& armed, Event tick) {
    const Nanos due = deadline_of(*part);
    if (due == leases::kNever || due == armed)
      return;
    armed = due;
    on(node, node.real(due), [this, &node, &part, &armed, due, tick] {
      if (deadline_of(*part) != due)
        return;
      armed = 0;
      tick(node);
    });
  }

  // An act: the lease is looked at, a moment passes (in which the process may be stopped), and it
  // goes out.
  void act(Node& node) {
    on(node, now_ + 90 * kMs, [this, &node] {
      for (const std::string& duty : settings_.duties) {
        const auto token = node.holder->may(node.local(now_), duty);
        audit_lease(duty);
        if (!token)
          continue;
        on(node, now_ + 2 * kMs, [this, &node, duty, token = *token] {
          travel(node, node, [this, duty, token] {
            resource(duty, token);
          });
        });
      }
      act(node);
    });
  }

  void resource(const std::string& duty, leases::Token token) {
    const bool pass = sabotage_ == Sabotage::FenceOff || fence_.pass(duty, token);
    digest.add(now_);
    digest.add(duty);
    digest.add(token);
    digest.add(pass);
    if (!pass)
      return void(++turned_down);
    ++acts;
    auto& [last, at] = accepted_[duty];
    if (token < last)
      throw Broken{"fencing: " + duty + " done under a token lower than one before"};
    if (token > last && last > 0)
      gaps.push_back(now_ - at);
    last = token, at = now_;
    done_at_[duty] = now_;
  }

  // ---- the auditor

  void audit_lease(const std::string& duty) {
    std::string held;
    for (const auto& node : nodes_) {
      if (!node->alive || !node->holder->may(node->local(now_), duty))
        continue;
      if (!held.empty())
        throw Broken{"lease: " + held + " and " + node->name + " both may " + duty};
      held = node->name;
    }
  }

  void agree(const raft::LogEntry& entry) {
    const auto [held, fresh] = log_.emplace(entry.index, std::pair(entry.term, entry.command));
    if (!fresh && held->second != std::pair(entry.term, entry.command))
      throw Broken{"log: two entries at " + std::to_string(entry.index)};
  }

  void state(raft::Index index, const std::string& packed) {
    const auto [held, fresh] = states_.emplace(index, packed);
    if (!fresh && held->second != packed)
      throw Broken{"state: two states after " + std::to_string(index)};
  }

  // ---- the network, and what goes wrong

  void travel(Node& from, Node& to, std::function<void()> what) {
    const bool local = &from == &to, calm = now_ >= kFaultsEnd;
    if (!local && (cuts_.count({from.number, to.number}) || (!calm && chance(0.02))))
      return;
    const auto delay = [&] {
      return !calm && chance(0.05) ? between(1, 600) * kMs : between(200, 5000) * 1000;
    };
    if (local) {  // to the resource, which stands outside
      if (!calm && chance(0.02))
        return;
      return later(now_ + delay(), std::move(what));
    }
    if (!calm && chance(0.02))
      arrive(to, now_ + delay(), what);
    arrive(to, now_ + delay(), std::move(what));
  }

  void arrive(Node& to, Nanos at, std::function<void()> what) {  // at whatever start it then has
    later(at, [this, &to, what = std::move(what)] {
      on(to, now_, what);
    });
  }

  void inject(const Fault& fault) {
    Node& node = *nodes_[std::size_t(fault.a)];
    if (fault.kind == "kill" || fault.kind == "wipe") {
      node.alive = false;
      if (fault.kind == "wipe")
        node.disk.reset(), node.wiped = true;
    } else if (fault.kind == "start") {
      if (!node.alive)
        start(node);
    } else if (fault.kind == "stall") {
      node.stalled = node.alive;
    } else if (fault.kind == "wake") {
      node.stalled = false;
      auto waiting = std::move(node.waiting);
      node.waiting.clear();
      for (auto& what : waiting)
        on(node, now_, what);
    } else if (fault.kind == "cut") {
      cuts_.insert({fault.a, fault.b});
    } else if (fault.kind == "heal") {
      cuts_.erase({fault.a, fault.b});
    } else if (fault.kind == "disk") {
      node.disk_fails = true;
    } else if (fault.kind == "mend") {
      node.disk_fails = false;
    }
  }

  const Script& script_;
  const Sabotage sabotage_;
  std::mt19937_64 random_;
  leases::Settings settings_{{"speaker", "watcher"}, kLease, kDrift, 1};
  std::vector<std::string> voters_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<int, Nanos> node_disk_at_;
  std::priority_queue<Due> queue_;
  std::uint64_t order_ = 0;
  Nanos now_ = 0;
  std::set<std::pair<int, int>> cuts_;
  leases::Fence fence_;
  std::map<raft::Term, int> leaders_;
  std::map<raft::Index, std::pair<raft::Term, std::string>> log_;
  std::map<raft::Index, std::string> states_;
  std::map<std::string, std::pair<leases::Token, Nanos>> accepted_;
  std::map<std::string, Nanos> done_at_;
};

// Faults of one seed: each that breaks something is paired with what ends it, by kFaultsEnd at the
// latest.
Script drawn(std::uint64_t seed) {
  std::mt19937_64 random(seed * 7919 + 1);
  const auto below = [&](int most) {
    return int(random() % std::uint64_t(most));
  };
  Script script;
  script.seed = seed;
  script.voters = below(4) ? 3 : 5;
  script.gateways = script.voters + below(3);
  bool wiped = false;
  for (int i = below(12); i >= 0; --i) {
    const Nanos at = (1 + below(5500)) * kMs,
                end = std::min(at + (1 + below(4000)) * kMs, kFaultsEnd);
    const int a = below(script.gateways), b = below(script.gateways);
    switch (below(7)) {
    case 0:
    case 1:
      script.faults.push_back({at, "kill", a});
      script.faults.push_back({end, "start", a});
      break;
    case 2:
    case 3:
      script.faults.push_back({at, "stall", a});
      script.faults.push_back({end, "wake", a});
      break;
    case 4:  // one way, both, or one from and to all
      for (int to = 0; to < script.gateways; ++to) {
        if (to == a || (to != b && seed % 2))
          continue;
        for (const bool back : {false, true}) {
          if (back && below(2))
            continue;
          script.faults.push_back({at, "cut", back ? to : a, back ? a : to});
          script.faults.push_back({end, "heal", back ? to : a, back ? a : to});
        }
      }
      break;
    case 5:
      script.faults.push_back({at, "disk", a});
      script.faults.push_back({end, "mend", a});
      break;
    case 6:  // one folder at most is lost: what a majority loses is gone
      if (a >= script.voters || std::exchange(wiped, true))
        break;
      script.faults.push_back({at, "wipe", a});
      script.faults.push_back({at + 300 * kMs, "start", a});
      break;
    }
  }
  for (int a = 0; a < script.gateways; ++a) {  // what overlapped is ended all the same
    script.faults.push_back({kFaultsEnd, "wake", a});
    script.faults.push_back({kFaultsEnd, "start", a});
  }
  return script;
}

void print(const Script& script) {
  std::cout << "seed " << script.seed << ' ' << script.voters << ' ' << script.gateways << '\n';
  for (const Fault& fault : script.faults)
    std::cout << fault.at / kMs << ' ' << fault.kind << ' ' << fault.a << ' ' << fault.b << '\n';
}

Script read(const char* path) {
  Script script;
  std::ifstream file(path);
  std::string word;
  file >> word >> script.seed >> script.voters >> script.gateways;
  for (Fault fault; file >> fault.at >> fault.kind >> fault.a >> fault.b;) {
    fault.at *= kMs;
    script.faults.push_back(fault);
  }
  return script;
}

struct Totals {
  std::uint64_t acts = 0, turned_down = 0;
  std::vector<Nanos> gaps;
};

std::optional<Broken> play(const Script& script, Sabotage sabotage, Totals& totals) {
  try {
    World world(script, sabotage);
    world.run();
    totals.acts += world.acts, totals.turned_down += world.turned_down;
    totals.gaps.insert(totals.gaps.end(), world.gaps.begin(), world.gaps.end());
  } catch (const Broken& broken) {
    return broken;
  }
  return std::nullopt;
}

}  // namespace

int main(int count, char** arguments) {
  Totals totals;
  if (count == 3 && !std::strcmp(arguments[1], "--script")) {
    const auto broken = play(read(arguments[2]), Sabotage::None, totals);
    std::cout << (broken ? broken->rule : "every rule held") << '\n';
    return broken ? 1 : 0;
  }
  if (count == 3 && !std::strcmp(arguments[1], "--saboteurs")) {
    bool all = true;
    for (int s = 1; s < int(Sabotage::Last); ++s) {
      std::optional<Broken> broken;
      std::uint64_t seed = 0;
      while (!broken && seed < std::strtoull(arguments[2], nullptr, 10))
        broken = play(drawn(++seed), Sabotage(s), totals);
      std::cout << kNames[s] << ": "
                << (broken ? "caught at seed " + std::to_string(seed) + ": " + broken->rule
                           : "NOT caught")
                << '\n';
      all &= broken.has_value();
    }
    return all ? 0 : 1;
  }
  if (count == 3 && !std::strcmp(arguments[1], "--digest")) {
    simulation::EventDigest all;
    const std::uint64_t seeds = std::strtoull(arguments[2], nullptr, 10);
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
      const Script script = drawn(seed);
      World world(script, Sabotage::None);
      world.run();
      all.add(world.digest.value());
    }
    std::printf("digest of %llu seeds: %016llx\n", static_cast<unsigned long long>(seeds),
                static_cast<unsigned long long>(all.value()));
    return 0;
  }
  if (count == 3 && !std::strcmp(arguments[1], "--cost")) {
    Script script;
    script.voters = 5, script.gateways = std::max(5, std::atoi(arguments[2]));
    World world(script, Sabotage::None);
    world.run();
    std::printf(
        "%d gateways, 5 voters, lease %.0f ms, beat of the log 100 ms: the leader sends %.1f "
        "messages a second, "
        "each other gateway %.1f\n",
        script.gateways, double(kLease) / 1e6, world.leader_sent / (double(kEnd) / 1e9),
        world.others_sent / (double(kEnd) / 1e9) / (script.gateways - 1));
    return 0;
  }
  const std::uint64_t seeds = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1000;
  const std::uint64_t first = count > 2 ? std::strtoull(arguments[2], nullptr, 10) : 1;
  // Seeds are independent: each worker takes every so manyth, and the lowest that broke a rule is
  // told.
  const std::size_t workers = std::max(1u, std::min(8u, std::thread::hardware_concurrency()));
  std::vector<Totals> parts(workers);
  std::map<std::uint64_t, std::string> broken;
  std::mutex lock;
  std::vector<std::thread> threads;
  for (std::size_t worker = 0; worker < workers; ++worker)
    threads.emplace_back([&, worker] {
      for (std::uint64_t seed = first + worker; seed < first + seeds; seed += workers)
        if (const auto rule = play(drawn(seed), Sabotage::None, parts[worker])) {
          const std::lock_guard hold(lock);
          broken[seed] = rule->rule;
          return;
        }
    });
  for (std::thread& thread : threads)
    thread.join();
  if (!broken.empty()) {
    std::cout << "seed " << broken.begin()->first << ": " << broken.begin()->second
              << "\nthe script, for --script:\n";
    print(drawn(broken.begin()->first));
    return 1;
  }
  for (const Totals& part : parts) {
    totals.acts += part.acts, totals.turned_down += part.turned_down;
    totals.gaps.insert(totals.gaps.end(), part.gaps.begin(), part.gaps.end());
  }
  std::sort(totals.gaps.begin(), totals.gaps.end());
  const auto at = [&](double share) {
    return totals.gaps.empty()
               ? 0
               : double(totals.gaps[std::size_t(share * double(totals.gaps.size() - 1))]) / 1e6;
  };
  std::printf(
      "%llu seeds: every rule held; %llu acts, %llu turned down by their token; %zu hand-overs, ms "
      "between acts "
      "p50 %.0f p99 %.0f most %.0f, lease %.0f\n",
      static_cast<unsigned long long>(seeds), static_cast<unsigned long long>(totals.acts),
      static_cast<unsigned long long>(totals.turned_down), totals.gaps.size(), at(0.5), at(0.99),
      at(1), double(kLease) / 1e6);
  return 0;
}
