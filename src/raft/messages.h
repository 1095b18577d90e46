/// The messages that Raft nodes exchange. Names follow Ongaro & Ousterhout, figures 2 and 13, and
/// the Raft thesis.
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
  std::uint64_t attempt = 0;     ///< Of the query.
  bool has_empty_state = false;  ///< The sender is in term 0 and holds no log entry.
};

/// Asks whether the receiver would vote for the sender (Raft thesis, section 9.6). The term of the
/// message is the one that the sender would start.
struct PreVoteRequest {
  Index last_log_index = 0;
  Term last_log_term = 0;
};

/// The term of the message is that of the request if the vote is granted, otherwise the sender's.
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
  /// Grows with each round of the leader; the response repeats it.
  std::uint64_t heartbeat_round = 0;
};

/// Answers AppendEntriesRequest and InstallSnapshotRequest.
struct AppendEntriesResponse {
  bool success = false;
  /// On success, the last entry that is known to agree with the leader's log; otherwise the entry
  /// after which the leader continues.
  Index match_index = 0;
  std::uint64_t heartbeat_round = 0;
};

/// Replaces the receiver's log by a snapshot (Raft thesis, section 5.1), which is small and is sent
/// in one message.
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
  Term term = 0;  ///< The sender's, except in pre-votes.
  MessageBody body;
};

}  // namespace gorsebeam::raft
