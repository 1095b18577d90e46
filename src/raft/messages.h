/// The messages that Raft nodes exchange. Their names follow the Raft paper (Ongaro & Ousterhout,
/// "In Search of an Understandable Consensus Algorithm"), figures 2 and 13, and Ongaro's Raft
/// thesis.
#pragma once

#include "raft/persistent_state.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam::raft {

/// Asks whether the state of the receiver is empty. Sent by a node that found no persistent state.
struct RecoveryQuery {
  std::uint64_t attempt = 0;  ///< Distinguishes this start of the sender from earlier ones.
};

struct RecoveryReply {
  std::uint64_t attempt = 0;     ///< Repeats the attempt of the query.
  bool has_empty_state = false;  ///< The sender is in term 0 and holds no log entry.
};

/// Asks whether the receiver would vote for the sender (Raft thesis, section 9.6). `Message::term`
/// is the term that the sender would start.
struct PreVoteRequest {
  Index last_log_index = 0;
  Term last_log_term = 0;
};

/// Answers PreVoteRequest. `Message::term` is the term of the request if the vote is granted,
/// otherwise the sender's current term.
struct PreVoteResponse {
  bool granted = false;
};

struct VoteRequest {
  Index last_log_index = 0;
  Term last_log_term = 0;
};

struct VoteResponse {
  bool granted = false;
};

/// Replicates log entries; without entries it is a heartbeat.
struct AppendEntriesRequest {
  Index previous_log_index = 0;
  Term previous_log_term = 0;
  std::vector<LogEntry> entries;
  Index leader_commit = 0;
  /// The number of the heartbeat round, which the leader increases; the response repeats it.
  std::uint64_t heartbeat_round = 0;
};

/// Answers AppendEntriesRequest and InstallSnapshotRequest.
struct AppendEntriesResponse {
  bool success = false;
  /// On success, the index of the last entry that is known to agree with the leader's log;
  /// otherwise the index of the entry after which the leader should continue to send.
  Index match_index = 0;
  std::uint64_t heartbeat_round = 0;
};

/// Replaces the receiver's log by a snapshot (Raft thesis, section 5.1). Snapshots are small, so
/// each is sent in one message.
struct InstallSnapshotRequest {
  Snapshot snapshot;
  std::uint64_t heartbeat_round = 0;
};

using MessageBody =
    std::variant<RecoveryQuery, RecoveryReply, PreVoteRequest, PreVoteResponse, VoteRequest,
                 VoteResponse, AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest>;

struct Message {
  std::string from;
  std::string to;
  Term term = 0;  ///< The sender's current term, except in pre-votes.
  MessageBody body;
};

}  // namespace gorsebeam::raft
