/// One node of a Raft group (Ongaro & Ousterhout, "In Search of an Understandable Consensus
/// Algorithm"; Ongaro, Raft thesis). Of the thesis it implements pre-vote (section 9.6),
/// check-quorum (6.2), leader stickiness (4.2.3) and the confirmation of leadership for reads
/// (ReadIndex, 6.4).
///
/// The node is a deterministic state machine: it takes events with their time and returns actions.
/// It performs no I/O, reads no clock and starts no thread; all calls come from one thread. Times
/// are those of the caller's own monotonic clock. The clocks of different nodes are never compared,
/// and no safety property depends on them.
///
/// Persistence. A message that binds the node (a vote, or the acceptance of a log entry) is held
/// back until the embedder reports by `handle_persisted` that the state is on stable storage. The
/// state is written as a whole and replaces the previous content. A node whose storage fails
/// neither votes nor leads until a write succeeds.
///
/// Lost state. A node that finds no state at its start may have voted before it lost its state. It
/// remains `Recovering` (it neither votes nor accepts entries) until every other node reports that
/// its state is empty, which is the case only at the first start of the whole group. Therefore the
/// leader of the first term needs the pre-votes of all nodes. A node cannot detect that it has an
/// older copy of its own state: the leader reports a node that holds less than it acknowledged
/// (`ReplicaRegressed`) and does not count it for the rest of the term. An older copy that is
/// restored while the leader changes is not detected.
///
/// Invariants, checked by tests/fleet/ over thousands of seeds:
///  - there is at most one leader in a term;
///  - all nodes apply the same entry at an index, and it never changes;
///  - a round of `confirm_leadership` is confirmed only if no later term had a leader at its start.
///
/// Bounds: a node requests a snapshot when more than `max_log_entries` applied entries follow its
/// last one. A leader rejects proposals when its log has twice `max_log_entries` entries. At most
/// two messages of each type and receiver are held back.
#pragma once

#include "raft/actions.h"
#include "raft/messages.h"
#include "raft/persistence_tracker.h"
#include "raft/persistent_state.h"

#include "gorsebeam/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gorsebeam::raft {

struct Settings {
  std::string self;
  std::vector<std::string> voters;  ///< 3, 5 or 7 unique names, including `self`.
  Duration heartbeat_interval = 200ms;
  /// Each election timeout is drawn uniformly between this value and twice this value.
  Duration min_election_timeout = 1s;
  /// A node requests a snapshot when more applied entries than this follow its last snapshot.
  std::size_t max_log_entries = 256;
  std::size_t max_entries_per_message = 64;
  std::uint64_t random_seed = 1;
};

/// Each method with a parameter `actions` handles an event and appends the actions that the event
/// causes; the caller performs them in order.
class Node {
public:
  /// `stored` is the state that was read from stable storage; nothing if there is none or it cannot
  /// be read.
  Node(Settings settings, std::optional<PersistentState> stored);

  /// Call once, before any other event.
  void start(TimePoint now, Actions& actions);

  /// Processes a received message. Ignores a message that is not addressed to this node or that
  /// does not come from another voter.
  void handle_message(TimePoint now, const Message& message, Actions& actions);

  /// Reports that the write `number` and all earlier ones are on stable storage.
  void handle_persisted(TimePoint now, WriteNumber number, Actions& actions);

  /// Reports that a write has failed. The node repeats the write later.
  void handle_persist_failure(TimePoint now, Actions& actions);

  /// Call it at `next_deadline`, or at any other time.
  void tick(TimePoint now, Actions& actions);

  /// The next time at which `tick` has an effect.
  [[nodiscard]] TimePoint next_deadline() const {
    return std::min(deadline_, persistence_.retry_at());
  }

  /// Appends a command to the log and returns its index, or nothing if the node does not lead or
  /// the log is full.
  std::optional<Index> propose(std::string command, Actions& actions);

  /// Starts a heartbeat round and returns its number, which LeadershipConfirmed will name (Raft
  /// thesis, section 6.4). Returns nothing if the node does not lead.
  std::optional<std::uint64_t> confirm_leadership(Actions& actions);

  /// Replaces the applied entries of the log by a snapshot. `state` is the state of the state
  /// machine after the last ApplyEntry.
  void compact_log(std::string state, Actions& actions);

  [[nodiscard]] Role role() const { return role_; }

  [[nodiscard]] Term current_term() const { return state_.current_term; }

  /// The leader of the current term; empty if none is known.
  [[nodiscard]] const std::string& leader() const { return leader_; }

  [[nodiscard]] Index commit_index() const { return commit_index_; }

  [[nodiscard]] Index last_log_index() const { return state_.last_log_index(); }

  [[nodiscard]] const Snapshot& snapshot() const { return state_.snapshot; }

private:
  /// What a leader records about another node (nextIndex and matchIndex of the Raft paper).
  struct Progress {
    Index next_index = 1;
    Index match_index = 0;
    std::uint64_t acknowledged_round = 0;  ///< The newest heartbeat round that the node answered.
    TimePoint last_response_at{};
    std::uint64_t matched_in_round = 0;  ///< The round whose response set `match_index`.
    bool entries_in_flight = false;
    bool counts_for_quorum = true;  ///< False once the node has lost entries it acknowledged.
  };

  [[nodiscard]] std::size_t majority() const { return settings_.voters.size() / 2 + 1; }

  [[nodiscard]] bool is_campaigning() const {
    return role_ == Role::PreCandidate || role_ == Role::Candidate;
  }

  [[nodiscard]] bool is_voter(const std::string& name) const;
  [[nodiscard]] bool has_heard_from_leader(TimePoint now) const;
  [[nodiscard]] bool is_log_up_to_date(Index last_log_index, Term last_log_term) const;
  [[nodiscard]] bool has_election_quorum() const;
  [[nodiscard]] bool has_active_quorum(TimePoint now) const;

  // Sending and persisting (node.cpp).
  [[nodiscard]] Message make_message(const std::string& to, MessageBody body) const;
  static void send(Message message, Actions& actions);
  void send_after_persist(Message message, Actions& actions);
  void send_to_others(const MessageBody& body, Actions& actions);
  void persist_if_changed(Actions& actions);
  void truncate_log_from(Index first);

  // Role transitions (node.cpp).
  void change_role(TimePoint now, Role role, const std::string& leader, Actions& actions);
  void become_recovering(TimePoint now, Actions& actions);
  void become_follower(TimePoint now, Term term, const std::string& leader, Actions& actions);
  void become_pre_candidate(TimePoint now, Actions& actions);
  void become_candidate(TimePoint now, Actions& actions);
  void become_leader(TimePoint now, Actions& actions);
  void advance_election(TimePoint now, Actions& actions);
  void reset_election_timer(TimePoint now);
  void handle_deadline(TimePoint now, Actions& actions);
  void send_heartbeats(TimePoint now, Actions& actions);

  // Messages (node_messages.cpp).
  void handle_recovery_query(const Message& message, const RecoveryQuery& query, Actions& actions);
  void handle_recovery_reply(TimePoint now, const Message& message, const RecoveryReply& reply,
                             Actions& actions);
  void handle_pre_vote_request(TimePoint now, const Message& message, const PreVoteRequest& request,
                               Actions& actions);
  void handle_pre_vote_granted(TimePoint now, const Message& message, Actions& actions);
  void handle_current_term_message(TimePoint now, const Message& message, Actions& actions);
  void reject_stale_message(const Message& message, Actions& actions);
  void handle_vote_request(TimePoint now, const Message& message, const VoteRequest& request,
                           Actions& actions);
  void handle_vote_response(TimePoint now, const Message& message, const VoteResponse& response,
                            Actions& actions);
  void follow_leader(TimePoint now, const Message& message, Actions& actions);
  void append_entries(const Message& message, const AppendEntriesRequest& request,
                      Actions& actions);
  [[nodiscard]] bool contradicts_committed_log(const std::vector<LogEntry>& entries) const;
  void merge_entries(const std::vector<LogEntry>& entries);
  void install_snapshot(const Message& message, const InstallSnapshotRequest& request,
                        Actions& actions);

  // Replication by the leader (node_replication.cpp).
  void send_entries(const std::string& name, Progress& progress, Actions& actions);
  void handle_append_response(TimePoint now, const Message& message,
                              const AppendEntriesResponse& response, Actions& actions);
  void record_match(const std::string& name, Progress& progress,
                    const AppendEntriesResponse& response, Actions& actions);
  void record_rejection(const std::string& name, Progress& progress,
                        const AppendEntriesResponse& response, Actions& actions);
  void advance_commit_and_confirmed_round(Actions& actions);
  void apply_committed(Actions& actions);

  Settings settings_;
  PersistentState state_;
  bool found_no_state_;
  Role role_ = Role::Follower;
  std::string leader_;
  Index commit_index_ = 0;
  Index last_applied_ = 0;
  /// When the election timeout, the next heartbeat or the next recovery query is due.
  TimePoint deadline_ = kNever;
  TimePoint last_leader_message_at_ = TimePoint(-Duration::max());
  std::uint64_t recovery_attempt_ = 0;
  /// While recovering: for each node that replied, whether any of its replies reported an empty
  /// state.
  std::map<std::string, bool> has_empty_state_;
  /// As a pre-candidate or candidate: the nodes that granted their votes.
  std::set<std::string> granted_votes_;
  std::map<std::string, Progress> progress_;  ///< As a leader: each other node, by its name.
  std::uint64_t heartbeat_round_ = 0;
  std::uint64_t confirmed_round_ = 0;

  PersistenceTracker persistence_;
  WriteNumber own_vote_write_ = 0;  ///< The write that holds this node's vote for itself.
  bool snapshot_requested_ = false;
  std::mt19937_64 random_;
};

}  // namespace gorsebeam::raft
