/// Behaviour of raft::Node that the simulation rarely produces or cannot observe.
#include "raft/node.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace gorsebeam::raft {
namespace {

/// Three nodes, a, b and c. Messages arrive in the same step unless a node is isolated, and writes
/// finish at once unless a disk is blocked.
class RaftCluster {
public:
  RaftCluster() {
    for (const char* name : {"a", "b", "c"})
      start(name, PersistentState{});
  }

  void start(const std::string& name, const std::optional<PersistentState>& stored) {
    Settings settings;
    settings.self = name;
    settings.voters = {"a", "b", "c"};
    settings.random_seed = std::hash<std::string>()(name);
    settings.max_log_entries = 4;
    disks_[name] = stored;
    nodes_[name] = std::make_unique<Node>(settings, stored);
    run(name, [this](Node& node, Actions& actions) {
      node.start(now_, actions);
    });
  }

  void isolate(const std::string& name) { isolated_.insert(name); }

  void reconnect_all() { isolated_.clear(); }

  /// From now on, writes of this node do not finish.
  void block_disk(const std::string& name) { blocked_disks_.insert(name); }

  /// Returns whether the node accepted the command.
  bool propose(const std::string& name, const std::string& command) {
    bool is_accepted = false;
    run(name, [&](Node& node, Actions& actions) {
      is_accepted = node.propose(command, actions).has_value();
    });
    return is_accepted;
  }

  void advance(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += 10ms) {
      tick_due_nodes();
      deliver_messages();
    }
  }

  [[nodiscard]] std::string leader() const {
    for (const auto& [name, node] : nodes_)
      if (node->role() == Role::Leader)
        return name;
    return "";
  }

  /// Returns a node that does not lead.
  [[nodiscard]] std::string follower() const { return leader() == "a" ? "b" : "a"; }

  [[nodiscard]] const Node& node(const std::string& name) const { return *nodes_.at(name); }

  [[nodiscard]] std::optional<PersistentState> disk(const std::string& name) const {
    return disks_.at(name);
  }

  [[nodiscard]] const std::set<std::string>& regressed_nodes() const { return regressed_nodes_; }

private:
  using Event = std::function<void(Node&, Actions&)>;

  void run(const std::string& name, const Event& event) {
    Actions actions;
    event(*nodes_.at(name), actions);
    for (const Action& action : actions)
      perform(name, action);
  }

  void perform(const std::string& name, const Action& action) {
    if (const auto* write = std::get_if<PersistState>(&action)) {
      if (blocked_disks_.count(name) == 0)
        persist(name, *write);
    } else if (const auto* send = std::get_if<SendMessage>(&action)) {
      if (isolated_.count(name) == 0 && isolated_.count(send->message.to) == 0)
        messages_.push_back(send->message);
    } else if (const auto* regressed = std::get_if<ReplicaRegressed>(&action)) {
      regressed_nodes_.insert(regressed->node);
    }
  }

  void persist(const std::string& name, const PersistState& write) {
    disks_[name] = write.state;
    run(name, [&](Node& node, Actions& actions) {
      node.handle_persisted(now_, write.number, actions);
    });
  }

  void tick_due_nodes() {
    for (const auto& [name, node] : nodes_)
      if (node->next_deadline() <= now_)
        run(name, [this](Node& due, Actions& actions) {
          due.tick(now_, actions);
        });
  }

  void deliver_messages() {
    while (!messages_.empty()) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      run(message.to, [&](Node& node, Actions& actions) {
        node.handle_message(now_, message, actions);
      });
    }
  }

  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::map<std::string, std::optional<PersistentState>> disks_;
  std::set<std::string> isolated_;
  std::set<std::string> blocked_disks_;
  std::set<std::string> regressed_nodes_;
  std::deque<Message> messages_;
  TimePoint now_{};
};

TEST(RaftNode, ReconnectedNodeDoesNotDeposeWorkingLeader) {
  RaftCluster cluster;
  cluster.advance(5000ms);
  const std::string leader = cluster.leader();
  ASSERT_NE(leader, "");
  const Term term = cluster.node(leader).current_term();

  cluster.isolate(cluster.follower());
  cluster.advance(20'000ms);
  cluster.reconnect_all();
  cluster.advance(5000ms);

  EXPECT_EQ(cluster.leader(), leader);
  EXPECT_EQ(cluster.node(leader).current_term(), term);
}

TEST(RaftNode, WithholdsVotesUntilTheyArePersisted) {
  RaftCluster cluster;
  cluster.block_disk("b");
  cluster.block_disk("c");

  // Nodes b and c cannot persist a vote: node a gets no vote from them, and neither of them can use
  // its vote for itself.
  cluster.advance(10'000ms);

  EXPECT_EQ(cluster.leader(), "");
}

TEST(RaftNode, LeaderReportsNodeWithOlderState) {
  RaftCluster cluster;
  cluster.advance(5000ms);
  const std::string leader = cluster.leader();
  const std::string follower = cluster.follower();
  const std::optional<PersistentState> old_state = cluster.disk(follower);
  for (int i = 0; i < 3; ++i) {
    cluster.propose(leader, "command");
    cluster.advance(500ms);
  }

  cluster.start(follower, old_state);
  cluster.advance(1000ms);

  EXPECT_EQ(cluster.regressed_nodes(), std::set<std::string>{follower});
}

TEST(RaftNode, StaysRecoveringAfterStateLoss) {
  RaftCluster cluster;
  cluster.advance(5000ms);
  const std::string leader = cluster.leader();
  const std::string follower = cluster.follower();

  cluster.start(follower, std::nullopt);
  cluster.isolate(leader);
  cluster.advance(20'000ms);

  EXPECT_EQ(cluster.node(follower).role(), Role::Recovering);
  for (const char* name : {"a", "b", "c"})
    EXPECT_NE(cluster.node(name).role(), Role::Leader) << name;
}

TEST(RaftNode, RejectsProposalsBeyondLogLimit) {
  RaftCluster cluster;
  cluster.advance(5000ms);
  const std::string leader = cluster.leader();
  cluster.isolate(leader);

  std::size_t accepted = 0;
  for (int i = 0; i < 100; ++i)
    if (cluster.propose(leader, "command"))
      ++accepted;

  EXPECT_LE(accepted, 8U);  // twice `max_log_entries`
}

}  // namespace
}  // namespace gorsebeam::raft
