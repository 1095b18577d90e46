/// A digest over all messages, writes, log entries and actions of the nodes of a simulated run, in
/// order. Two builds with equal digests over the same seeds make equal decisions.
#pragma once

#include "leases/lease_client.h"
#include "leases/lease_manager.h"
#include "raft/node.h"

#include <cstdint>
#include <string>
#include <type_traits>

namespace gorsebeam::simulation {

/// A 64-bit FNV-1a hash of the values of fields. Names of types and fields are not part of it, so
/// that renaming them keeps the digest.
class EventDigest {
public:
  [[nodiscard]] std::uint64_t value() const { return value_; }

  template <typename Number, typename = std::enable_if_t<std::is_integral_v<Number>>>
  void add(Number number) {
    add_number(static_cast<std::uint64_t>(number));
  }

  void add(const std::string& text);
  /// Starts an event by adding its time and its node.
  void add_event(TimePoint now, int node);
  void add(const raft::Action& action);
  void add(const leases::ManagerAction& action);
  void add(const leases::ClientAction& action);

private:
  void add_number(std::uint64_t number);
  void add(const raft::LogEntry& entry);
  void add(const raft::Snapshot& snapshot);
  void add(const raft::PersistentState& state);
  void add(const raft::Message& message);
  void add(raft::Role role);
  void add_body(const raft::RecoveryQuery& body);
  void add_body(const raft::RecoveryReply& body);
  void add_body(const raft::PreVoteRequest& body);
  void add_body(const raft::PreVoteResponse& body);
  void add_body(const raft::VoteRequest& body);
  void add_body(const raft::VoteResponse& body);
  void add_body(const raft::AppendEntriesRequest& body);
  void add_body(const raft::AppendEntriesResponse& body);
  void add_body(const raft::InstallSnapshotRequest& body);

  std::uint64_t value_ = 0xcbf29ce484222325;
};

}  // namespace gorsebeam::simulation
