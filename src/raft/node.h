/// One node of a Raft group (Ongaro & Ousterhout, "In Search of an Understandable Consensus
/// Algorithm"; Raft thesis) with pre-vote (thesis 9.6), check-quorum and leader stickiness (6.2,
/// 4.2.3) and confirmation of leadership for reads (ReadIndex, 6.4).
///
/// The node is a deterministic state machine: events with their time go in, actions come out. It
/// performs no I/O, reads no clock and starts no thread; all calls come from one thread. Times are
/// nanoseconds of the caller's own monotonic clock. Clocks of different nodes are never compared,
/// and no safety property depends on them.
///
/// Persistence. A message that commits the node to something (a vote, an accepted log entry) is
/// held back until the embedder reports by `handle_persisted` that the state is on stable storage.
/// The state is written as a whole and replaces the earlier content. A node whose storage fails
/// neither votes nor leads until a write succeeds.
///
/// Lost state. A node that finds no state may have voted before and lost it. It stays `Recovering`
/// (it neither votes nor accepts entries) until every other node reports that it has never taken
/// part either, which holds only at the first start of the whole group; therefore the leader of the
/// first term needs the pre-votes of all nodes. An older copy of the state cannot be recognized by
/// its owner: the leader reports a node that holds less than it acknowledged (`ReplicaRegressed`)
/// and stops counting it in that term. Not detected: an older copy restored while the leader
/// changes.
///
/// Invariants, checked by tests/fleet/ over thousands of seeds:
///  - there is at most one leader in a term;
///  - all nodes apply the same entry at an index, for good;
///  - a round of `confirm_leadership` is confirmed only if no later term had a leader when the
///  round
///    started.
///
/// Bounds: a leader requests a snapshot beyond `max_log_entries` applied entries and rejects
/// proposals at twice as many entries. At most two messages of each type and receiver are held
/// back.
#pragma once

#include "raft/messages.h"
#include "raft/persistent_state.h"

#include "gorsebeam/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam::raft {

struct Settings {
  std::string self;
  std::vector<std::string> voters;  ///< 3, 5 or 7 unique names, `self` among them.
  Duration heartbeat_interval = 200ms;
  /// Each election timeout is drawn from this value to its double.
  Duration min_election_timeout = 1s;
  std::size_t max_log_entries = 256;
  std::size_t max_entries_per_message = 64;
  std::uint64_t random_seed = 1;
};

enum class Role {
  Recovering,  ///< No persistent state was found; takes no part yet.
  Follower,
  PreCandidate,  ///< Asks whether it would win an election; has not changed its term.
  Candidate,
  Leader,
};

/// To be sent at once; it may be lost, delayed, duplicated or reordered.
struct SendMessage {
  Message message;
};

/// To be written to stable storage as a whole; answered by `handle_persisted` or
/// `handle_persist_failure`. Writes finish in order.
struct PersistState {
  std::uint64_t number = 0;  ///< Grows by 1.
  PersistentState state;
};

/// A committed entry, in the order of indexes, each once since the start or the last
/// RestoreSnapshot.
struct ApplyEntry {
  LogEntry entry;
};

/// Replaces the state machine's state.
struct RestoreSnapshot {
  Snapshot snapshot;
};

/// The log is long: pass the state after the last ApplyEntry to `compact_log`.
struct RequestSnapshot {};

struct RoleChanged {
  Role role = Role::Follower;
  Term term = 0;
  std::string leader;  ///< As far as known; empty: none.
};

/// For all rounds up to this one: the node led, and no later term had a leader, when the round
/// started.
struct LeadershipConfirmed {
  std::uint64_t heartbeat_round = 0;
};

/// A node holds less than it acknowledged; its storage was replaced by an older copy.
struct ReplicaRegressed {
  std::string node;
};

using Action = std::variant<SendMessage, PersistState, ApplyEntry, RestoreSnapshot, RequestSnapshot,
                            RoleChanged, LeadershipConfirmed, ReplicaRegressed>;
using Actions = std::vector<Action>;

/// Each event appends the actions that it causes to `actions`; the caller performs them in order.
class Node {
public:
  /// `stored` is the state read from stable storage; none if there is none or it is unreadable.
  Node(Settings settings, std::optional<PersistentState> stored);

  /// Call once, before any other event.
  void start(TimePoint now, Actions& actions);
  void handle_message(TimePoint now, const Message& message, Actions& actions);
  /// The write `number` and all earlier ones are on stable storage.
  void handle_persisted(TimePoint now, std::uint64_t number, Actions& actions);
  void handle_persist_failure(TimePoint now, Actions& actions);
  /// Call at `next_deadline()`; an earlier call does no harm.
  void tick(TimePoint now, Actions& actions);

  [[nodiscard]] TimePoint next_deadline() const { return std::min(deadline_, persist_retry_at_); }

  /// Appends a command and returns its index. None: the node does not lead, or the log is full.
  std::optional<Index> propose(std::string command, Actions& actions);
  /// Starts a heartbeat round and returns the number that LeadershipConfirmed will name (thesis,
  /// 6.4). None: the node does not lead.
  std::optional<std::uint64_t> confirm_leadership(Actions& actions);
  /// `state` is the state machine after the last ApplyEntry.
  void compact_log(std::string state, Actions& actions);

  [[nodiscard]] Role role() const { return role_; }

  [[nodiscard]] Term current_term() const { return state_.current_term; }

  /// The leader of the current term as far as known; empty: none.
  [[nodiscard]] const std::string& leader() const { return leader_; }

  [[nodiscard]] Index commit_index() const { return commit_index_; }

  [[nodiscard]] Index last_log_index() const { return state_.last_log_index(); }

  [[nodiscard]] const Snapshot& snapshot() const { return state_.snapshot; }

private:
  /// What a leader knows of another node (nextIndex and matchIndex of the paper).
  struct Progress {
    Index next_index = 1;
    Index match_index = 0;
    std::uint64_t acknowledged_round = 0;
    TimePoint last_response_at{};
    std::uint64_t matched_in_round = 0;  ///< The round whose response set `match_index`.
    bool entries_in_flight = false;
    bool counts_for_quorum = true;  ///< False after it regressed.
  };

  struct HeldMessage {
    std::uint64_t required_persist = 0;  ///< Sent once this write is on stable storage.
    Message message;
  };

  struct PendingPersist {
    std::uint64_t number = 0;
    Index last_log_index = 0;  ///< That the write covers and that was not truncated since.
  };

  [[nodiscard]] std::size_t majority() const { return settings_.voters.size() / 2 + 1; }

  [[nodiscard]] bool is_campaigning() const {
    return role_ == Role::PreCandidate || role_ == Role::Candidate;
  }

  [[nodiscard]] bool is_persisted(std::uint64_t number) const {
    return !storage_failed_ && number <= persisted_number_;
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
  void handle_in_current_term(TimePoint now, const Message& message, Actions& actions);
  void reject_stale_message(const Message& message, Actions& actions);
  void handle_vote_request(TimePoint now, const Message& message, const VoteRequest& request,
                           Actions& actions);
  void handle_vote_response(TimePoint now, const Message& message, const VoteResponse& response,
                            Actions& actions);
  /// False: the message is not one that this node may accept from a leader.
  bool accept_leader(TimePoint now, const Message& message, Actions& actions);
  void append_entries(const Message& message, const AppendEntriesRequest& request,
                      Actions& actions);
  /// False: the request contradicts the committed log.
  bool merge_entries(const std::vector<LogEntry>& entries);
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
  void advance_quorum(Actions& actions);
  void apply_committed(Actions& actions);

  Settings settings_;
  PersistentState state_;
  bool state_was_empty_;  ///< Nothing was found on stable storage.
  Role role_ = Role::Follower;
  std::string leader_;
  Index commit_index_ = 0;
  Index last_applied_ = 0;
  TimePoint deadline_ = kNever;  ///< Election timeout, next heartbeat or next recovery query.
  TimePoint leader_heard_at_ = TimePoint(-Duration::max());
  /// Recovering: who has empty state; PreCandidate and Candidate: who granted its vote.
  std::map<std::string, bool> responses_;
  std::map<std::string, Progress> progress_;  ///< Only of a leader.
  std::uint64_t heartbeat_round_ = 0;         ///< Recovering: the attempt's number.
  std::uint64_t confirmed_round_ = 0;

  bool state_changed_ = false;  ///< Since the last PersistState.
  bool storage_failed_ = false;
  TimePoint persist_retry_at_ = kNever;
  std::uint64_t issued_persist_ = 0;
  std::uint64_t persisted_number_ = 0;
  std::uint64_t own_vote_persist_ = 0;  ///< The write that holds the vote for this node itself.
  std::deque<PendingPersist> pending_persists_;
  Index persisted_log_index_ = 0;
  std::vector<HeldMessage> held_messages_;
  bool snapshot_requested_ = false;
  std::mt19937_64 random_;
};

}  // namespace gorsebeam::raft
