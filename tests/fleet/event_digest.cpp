#include "event_digest.h"

namespace gorsebeam::simulation {

void EventDigest::add_number(std::uint64_t number) {
  constexpr std::uint64_t kPrime = 0x100000001b3;
  for (int shift = 0; shift < 64; shift += 8) {
    value_ ^= (number >> shift) & 0xff;
    value_ *= kPrime;
  }
}

void EventDigest::add(const std::string& text) {
  add(text.size());
  for (const char byte : text)
    add_number(static_cast<unsigned char>(byte));
}

void EventDigest::add_event(TimePoint now, int node) {
  add(now.time_since_epoch().count());
  add(node);
}

void EventDigest::add(const raft::LogEntry& entry) {
  add(entry.term);
  add(entry.index);
  add(entry.command);
}

void EventDigest::add(const raft::Snapshot& snapshot) {
  add(snapshot.index);
  add(snapshot.term);
  add(snapshot.state);
}

void EventDigest::add(const raft::PersistentState& state) {
  add(state.current_term);
  add(state.voted_for);
  add(state.snapshot);
  add(state.log.size());
  for (const raft::LogEntry& entry : state.log)
    add(entry);
}

void EventDigest::add(const raft::Message& message) {
  add(message.body.index());
  add(message.from);
  add(message.to);
  add(message.term);
  std::visit(
      [this](const auto& body) {
        add_body(body);
      },
      message.body);
}

void EventDigest::add_body(const raft::RecoveryQuery& body) {
  add(body.attempt);
}

void EventDigest::add_body(const raft::RecoveryReply& body) {
  add(body.attempt);
  add(body.has_empty_state);
}

void EventDigest::add_body(const raft::PreVoteRequest& body) {
  add(body.last_log_index);
  add(body.last_log_term);
}

void EventDigest::add_body(const raft::PreVoteResponse& body) {
  add(body.granted);
}

void EventDigest::add_body(const raft::VoteRequest& body) {
  add(body.last_log_index);
  add(body.last_log_term);
}

void EventDigest::add_body(const raft::VoteResponse& body) {
  add(body.granted);
}

void EventDigest::add_body(const raft::AppendEntriesRequest& body) {
  add(body.previous_log_index);
  add(body.previous_log_term);
  add(body.leader_commit);
  add(body.heartbeat_round);
  add(body.entries.size());
  for (const raft::LogEntry& entry : body.entries)
    add(entry);
}

void EventDigest::add_body(const raft::AppendEntriesResponse& body) {
  add(body.match_index);
  add(body.success);
  add(body.heartbeat_round);
}

void EventDigest::add_body(const raft::InstallSnapshotRequest& body) {
  add(body.heartbeat_round);
  add(body.snapshot);
}

// Pre-candidates and candidates have the same value, because both only wait for votes.
void EventDigest::add(raft::Role role) {
  switch (role) {
  case raft::Role::Recovering:
    return add_number(0);
  case raft::Role::Follower:
    return add_number(1);
  case raft::Role::PreCandidate:
  case raft::Role::Candidate:
    return add_number(2);
  case raft::Role::Leader:
    return add_number(3);
  }
}

void EventDigest::add(const raft::Action& action) {
  add(action.index());
  if (const auto* send = std::get_if<raft::SendMessage>(&action)) {
    add(send->message);
  } else if (const auto* persist = std::get_if<raft::PersistState>(&action)) {
    add(persist->number);
    add(persist->state);
  } else if (const auto* apply = std::get_if<raft::ApplyEntry>(&action)) {
    add(apply->entry);
  } else if (const auto* restore = std::get_if<raft::RestoreSnapshot>(&action)) {
    add(restore->snapshot);
  } else if (const auto* change = std::get_if<raft::RoleChanged>(&action)) {
    add(change->role);
    add(change->term);
    add(change->leader);
  } else if (const auto* confirmed = std::get_if<raft::LeadershipConfirmed>(&action)) {
    add(confirmed->heartbeat_round);
  } else if (const auto* regressed = std::get_if<raft::ReplicaRegressed>(&action)) {
    add(regressed->node);
  }
}

void EventDigest::add(const leases::ManagerAction& action) {
  add(action.index());
  if (const auto* propose = std::get_if<leases::ProposeGrant>(&action)) {
    add(propose->command);
  } else if (const auto* response = std::get_if<leases::LeaseResponse>(&action)) {
    add(response->holder);
    add(response->request_number);
    add(response->held_roles.size());
    for (const auto& [role, token] : response->held_roles) {
      add(role);
      add(token);
    }
  }
}

void EventDigest::add(const leases::ClientAction& action) {
  add(action.index());
  if (const auto* request = std::get_if<leases::LeaseRequest>(&action)) {
    add(request->holder);
    add(request->zone);
    add(request->request_number);
    add(request->last_answered_request);
    add(request->has_resigned);
  } else if (const auto* acquired = std::get_if<leases::LeaseAcquired>(&action)) {
    add(acquired->role);
    add(acquired->token);
  } else if (const auto* lost = std::get_if<leases::LeaseLost>(&action)) {
    add(lost->role);
    add(lost->token);
    add(lost->reason == leases::LossReason::Expired);
  }
}

}  // namespace gorsebeam::simulation
