/// The actions that a Raft node asks its embedder (the code that owns the node) to perform.
#pragma once

#include "raft/messages.h"
#include "raft/persistence_tracker.h"
#include "raft/persistent_state.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam::raft {

enum class Role {
  Recovering,  ///< No persistent state was found; the node neither votes nor accepts entries.
  Follower,
  PreCandidate,  ///< Asks the other voters whether it would win an election; keeps its term.
  Candidate,
  Leader,
};

/// Send the message at once. It may be lost, delayed, duplicated or reordered.
struct SendMessage {
  Message message;
};

/// Write the state to stable storage as a whole, and report the result by `handle_persisted` or
/// `handle_persist_failure`. Writes finish in the order of their numbers.
struct PersistState {
  WriteNumber number = 0;  ///< One more than the number of the previous write.
  PersistentState state;
};

/// Apply a committed entry to the state machine. Entries come in the order of their indexes, each
/// once since the start or the last RestoreSnapshot.
struct ApplyEntry {
  LogEntry entry;
};

/// Replace the state of the state machine by that of the snapshot.
struct RestoreSnapshot {
  Snapshot snapshot;
};

/// The log exceeds `Settings::max_log_entries` applied entries: pass the state of the state machine
/// after the last ApplyEntry to `compact_log`.
struct RequestSnapshot {};

/// The role, the term or the leader of the node has changed.
struct RoleChanged {
  Role role = Role::Follower;
  Term term = 0;
  std::string leader;  ///< Empty if none is known.
};

/// This node was the leader when the heartbeat round started, and no later term had a leader at
/// that time. The same holds for all earlier rounds.
struct LeadershipConfirmed {
  std::uint64_t heartbeat_round = 0;
};

/// Another node no longer holds log entries that it acknowledged, because its storage was replaced
/// by an older copy.
struct ReplicaRegressed {
  std::string node;
};

using Action = std::variant<SendMessage, PersistState, ApplyEntry, RestoreSnapshot, RequestSnapshot,
                            RoleChanged, LeadershipConfirmed, ReplicaRegressed>;
using Actions = std::vector<Action>;

}  // namespace gorsebeam::raft
