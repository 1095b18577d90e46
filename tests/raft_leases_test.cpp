#include "leases/leases.h"
#include "raft/node.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <set>

// What the simulation draws too seldom, or cannot see from outside.
namespace gorsebeam {
namespace {

constexpr std::int64_t ms = 1'000'000;
using raft::Message;

struct Three {  // voters a, b, c; messages arrive at once, the disk answers at once unless `slow`
  std::map<std::string, std::unique_ptr<raft::Node>> voters;
  std::map<std::string, std::optional<raft::PersistentState>> disks;
  std::set<std::string> cut, slow, regressed;
  std::int64_t now = 0;

  Three() {
    for (const char* name : {"a", "b", "c"})
      start(name, raft::PersistentState{});
  }

  void start(const std::string& name, std::optional<raft::PersistentState> kept) {
    raft::Settings settings{name, {"a", "b", "c"}};
    settings.random_seed = std::hash<std::string>()(name), settings.max_log_entries = 4;
    disks[name] = kept;
    voters[name] = std::make_unique<raft::Node>(settings, kept);
    step(name, [&](auto& voter, auto& out) {
      voter.start(now, out);
    });
  }

  using Event = std::function<void(raft::Node&, raft::Actions&)>;

  void step(const std::string& name, const Event& event) {
    raft::Actions actions;
    event(*voters.at(name), actions);
    for (const auto& action : actions) {
      if (const auto* save = std::get_if<raft::PersistState>(&action); save && !slow.count(name)) {
        disks[name] = save->state;
        saved(name, save->number);
      } else if (const auto* send = std::get_if<raft::SendMessage>(&action)) {
        if (!cut.count(name) && !cut.count(send->message.to))
          wire.push_back(send->message);
      } else if (const auto* who = std::get_if<raft::ReplicaRegressed>(&action)) {
        regressed.insert(who->node);
      }
    }
  }

  void saved(const std::string& name, std::uint64_t number) {
    step(name, [&](auto& voter, auto& out) {
      voter.handle_persisted(now, number, out);
    });
  }

  void pass(std::int64_t time) {
    for (const std::int64_t end = now + time; now < end; now += 10 * ms) {
      for (const auto& [name, voter] : voters)
        if (voter->next_deadline() <= now)
          step(name, [&](auto& voter, auto& out) {
            voter.tick(now, out);
          });
      for (; !wire.empty(); wire.pop_front()) {
        const Message message = wire.front();
        step(message.to, [&](auto& voter, auto& out) {
          voter.handle_message(now, message, out);
        });
      }
    }
  }

  std::string leader() const {
    for (const auto& [name, voter] : voters)
      if (voter->role() == raft::Role::Leader)
        return name;
    return "";
  }

  std::deque<Message> wire;
};

TEST(Agreement, OneThatWasCutOffDoesNotUnseatASoundLeader) {
  Three three;
  three.pass(5000 * ms);
  const std::string leader = three.leader();
  ASSERT_NE(leader, "");
  const auto term = three.voters[leader]->current_term();
  const std::string other = leader == "a" ? "b" : "a";
  three.cut = {other};
  three.pass(20'000 * ms);
  three.cut.clear();
  three.pass(5000 * ms);
  EXPECT_EQ(three.leader(), leader);
  EXPECT_EQ(three.voters[leader]->current_term(), term);
}

TEST(Agreement, NothingIsPromisedBeforeItRests) {
  Three three;
  three.slow = {"b", "c"};
  three.pass(10'000 *
             ms);  // a campaigns, and no vote is told; nor does another lead by its own alone
  EXPECT_EQ(three.leader(), "");
}

TEST(Agreement, AnOlderFolderIsToldOfAndCountsNoMore) {
  Three three;
  three.pass(5000 * ms);
  const std::string leader = three.leader(), other = leader == "a" ? "b" : "a";
  const auto old = three.disks[other];
  for (int i = 0; i < 3; ++i) {
    three.step(leader, [&](auto& voter, auto& out) {
      voter.propose("x", out);
    });
    three.pass(500 * ms);
  }
  three.start(other, old);
  three.pass(1000 * ms);
  EXPECT_EQ(three.regressed, std::set<std::string>{other});
}

TEST(Agreement, ALostFolderMakesMute) {
  Three three;
  three.pass(5000 * ms);
  const std::string leader = three.leader(), other = leader == "a" ? "b" : "a";
  three.start(other, std::nullopt);
  three.cut = {leader};
  three.pass(20'000 * ms);
  EXPECT_EQ(three.voters[other]->role(), raft::Role::Recovering);
  for (const auto& [name, voter] : three.voters)
    EXPECT_NE(voter->role(), raft::Role::Leader);
}

TEST(Agreement, ALogThatNobodyTakesIsBounded) {
  Three three;
  three.pass(5000 * ms);
  const std::string leader = three.leader();
  three.cut = {leader};
  std::size_t taken = 0;
  for (int i = 0; i < 100; ++i)
    three.step(leader, [&](auto& voter, auto& out) {
      taken += voter.propose("x", out).has_value();
    });
  EXPECT_LE(taken, 8u);
}

TEST(Duties, AGrantHoldsOnlyOverTheTokenItNames) {
  leases::Table table;
  EXPECT_EQ(table.apply(5, leases::Table::command("d", "a~1", 0)), "d");
  EXPECT_EQ(table.apply(6, leases::Table::command("d", "b~1", 0)), "");
  EXPECT_EQ(table.apply(7, "grant d 5 b~1\nrm"), "d");  // what follows the line says nothing
  EXPECT_EQ(table.at("d").holder, "b~1");
  EXPECT_EQ(leases::Table::unpacked(table.packed())->at("d").token, 7u);
  EXPECT_FALSE(leases::Table::unpacked("d x"));
}

TEST(Duties, OneThatAsksAndDoesNotHearIsNotRenewed) {
  leases::Settings settings{{"d"}};
  leases::Keeper keeper(settings);
  leases::Table table;
  table.apply(1, leases::Table::command("d", "deaf~1", 0));
  keeper.lead(0, table);
  std::string successor;
  for (std::int64_t now = 0, asks = 1; now < 20'000 * ms; now += 100 * ms) {
    leases::KeeperActions actions;
    if (now % (600 * ms) == 0) {
      keeper.asked(now, {"deaf~1", "", std::uint64_t(asks), 0});
      keeper.asked(now, {"well~1", "", std::uint64_t(asks), std::uint64_t(asks - 1)});
      ++asks;
    }
    keeper.tick(now, actions);
    keeper.confirming(std::uint64_t(now / ms + 1));
    keeper.confirmed(now, std::uint64_t(now / ms + 1), actions);
    for (const auto& action : actions)
      if (const auto* propose = std::get_if<leases::Propose>(&action))
        successor = propose->body;
  }
  EXPECT_EQ(successor, leases::Table::command("d", "well~1", 1));
}

}  // namespace
}  // namespace gorsebeam
