/// The messages that Raft nodes exchange. Names follow Ongaro & Ousterhout, figures 2 and 13, and
/// the Raft thesis.
#pragma once

#include "raft/persistent_state.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam::raft {

/// Sent by a node that found no persistent state: has the receiver ever taken part?
struct RecoveryQuery {
  std::uint64_t attempt = 0;  ///< Tells this start of the sender from earlier ones.
};

struct RecoveryReply {
  std::uint64_t attempt = 0;     ///< Of the query.
  bool has_empty_state = false;  ///< The sender never left term 0 and holds no log entry.
};

/// Would the receiver vote for the sender? (Raft thesis, section 9.6). The message's term is the
/// one that the sender would start.
struct PreVoteRequest {
  Index last_log_index = 0;
  Term last_log_term = 0;
};

/// If granted, the message's term is that of the request; else the sender's own.
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
  std::uint64_t heartbeat_round =
      0;  ///< Grows with each round of the leader; the response echoes it.
};

/// Answers AppendEntriesRequest and InstallSnapshotRequest.
struct AppendEntriesResponse {
  bool success = false;
  /// On success, the last entry known to agree with the leader's log; else where to continue from.
  Index match_index = 0;
  std::uint64_t heartbeat_round = 0;
};

/// Raft thesis, section 5.1; the snapshot is small and goes in one message.
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
  Term term = 0;  ///< The sender's, but for pre-votes.
  MessageBody body;
};

}  // namespace gorsebeam::raft
