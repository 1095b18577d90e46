// The node's reactions to messages: recovery, elections, and a follower's side of replication.
#include "node.h"

#include <utility>

namespace gorsebeam::raft {

bool Node::is_log_up_to_date(Index last_log_index, Term last_log_term) const {
  const Term own_term = state_.term_at(state_.last_log_index());
  if (last_log_term != own_term)
    return last_log_term > own_term;
  return last_log_index >= state_.last_log_index();
}

// Leader stickiness (Raft thesis, section 4.2.3): a node that has heard from a leader recently
// grants no vote, so that a node that was isolated cannot depose a working leader.
bool Node::has_heard_from_leader(TimePoint now) const {
  if (role_ == Role::Leader)
    return true;
  return !leader_.empty() && now - last_leader_message_at_ < settings_.min_election_timeout;
}

void Node::handle_message(TimePoint now, const Message& message, Actions& actions) {
  if (message.to != settings_.self || message.from == settings_.self || !is_voter(message.from))
    return;
  if (const auto* query = std::get_if<RecoveryQuery>(&message.body))
    return handle_recovery_query(message, *query, actions);
  if (const auto* reply = std::get_if<RecoveryReply>(&message.body))
    return handle_recovery_reply(now, message, *reply, actions);
  if (role_ == Role::Recovering)
    return;
  if (const auto* request = std::get_if<PreVoteRequest>(&message.body))
    return handle_pre_vote_request(now, message, *request, actions);
  if (const auto* response = std::get_if<PreVoteResponse>(&message.body);
      response != nullptr && response->granted)
    return handle_pre_vote_granted(now, message, actions);
  const bool is_newer_term = message.term > state_.current_term;
  if (is_newer_term && std::holds_alternative<VoteRequest>(message.body) &&
      has_heard_from_leader(now))
    return;
  if (is_newer_term)
    become_follower(now, message.term, "", actions);
  if (message.term < state_.current_term)
    reject_stale_message(message, actions);
  else
    handle_current_term_message(now, message, actions);
  persist_if_changed(actions);
}

// ---- Recovery

void Node::handle_recovery_query(const Message& message, const RecoveryQuery& query,
                                 Actions& actions) {
  const bool has_empty_state = state_.current_term == 0 && state_.last_log_index() == 0;
  send(make_message(message.from, RecoveryReply{query.attempt, has_empty_state}), actions);
}

void Node::handle_recovery_reply(TimePoint now, const Message& message, const RecoveryReply& reply,
                                 Actions& actions) {
  if (role_ != Role::Recovering || reply.attempt != recovery_attempt_)
    return;
  bool& has_empty_state = has_empty_state_[message.from];
  has_empty_state = has_empty_state || reply.has_empty_state;
  const bool all_are_empty =
      std::all_of(has_empty_state_.begin(), has_empty_state_.end(), [](const auto& node) {
        return node.second;
      });
  if (has_empty_state_.size() + 1 < settings_.voters.size() || !all_are_empty)
    return;
  persistence_.mark_changed();  // The next start of this node has to find a state.
  change_role(now, Role::Follower, "", actions);
  persist_if_changed(actions);
}

// ---- Elections

void Node::handle_pre_vote_request(TimePoint now, const Message& message,
                                   const PreVoteRequest& request, Actions& actions) {
  const bool granted = message.term > state_.current_term && !has_heard_from_leader(now) &&
                       !persistence_.has_storage_failed() &&
                       is_log_up_to_date(request.last_log_index, request.last_log_term);
  Message response = make_message(message.from, PreVoteResponse{granted});
  if (!granted)
    return send(std::move(response), actions);
  response.term = message.term;
  // Before this node supports a candidate, the state that ends its recovery must be on stable
  // storage.
  send_after_persist(std::move(response), actions);
}

void Node::handle_pre_vote_granted(TimePoint now, const Message& message, Actions& actions) {
  if (role_ != Role::PreCandidate || message.term != state_.current_term + 1)
    return;
  granted_votes_.insert(message.from);
  advance_election(now, actions);
  persist_if_changed(actions);
}

void Node::reject_stale_message(const Message& message, Actions& actions) {
  if (std::holds_alternative<VoteRequest>(message.body))
    return send(make_message(message.from, VoteResponse{}), actions);
  // The term in the response makes a deposed leader step down.
  if (std::holds_alternative<AppendEntriesRequest>(message.body) ||
      std::holds_alternative<InstallSnapshotRequest>(message.body))
    send(make_message(message.from, AppendEntriesResponse{}), actions);
}

void Node::handle_current_term_message(TimePoint now, const Message& message, Actions& actions) {
  if (const auto* vote = std::get_if<VoteRequest>(&message.body))
    return handle_vote_request(now, message, *vote, actions);
  if (const auto* vote_response = std::get_if<VoteResponse>(&message.body))
    return handle_vote_response(now, message, *vote_response, actions);
  if (const auto* append_response = std::get_if<AppendEntriesResponse>(&message.body))
    return handle_append_response(now, message, *append_response, actions);
  // A message of a second leader of the same term violates election safety. This leader cannot
  // resolve that and ignores the message.
  if (role_ == Role::Leader)
    return;
  if (const auto* append = std::get_if<AppendEntriesRequest>(&message.body)) {
    follow_leader(now, message, actions);
    append_entries(message, *append, actions);
  } else if (const auto* install = std::get_if<InstallSnapshotRequest>(&message.body)) {
    follow_leader(now, message, actions);
    install_snapshot(message, *install, actions);
  }
}

void Node::handle_vote_request(TimePoint now, const Message& message, const VoteRequest& request,
                               Actions& actions) {
  const bool can_vote = state_.voted_for.empty() || state_.voted_for == message.from;
  const bool granted = can_vote && !persistence_.has_storage_failed() && role_ == Role::Follower &&
                       is_log_up_to_date(request.last_log_index, request.last_log_term);
  if (!granted)
    return send(make_message(message.from, VoteResponse{}), actions);
  if (state_.voted_for.empty()) {
    state_.voted_for = message.from;
    persistence_.mark_changed();
  }
  reset_election_timer(now);
  send_after_persist(make_message(message.from, VoteResponse{granted}), actions);
}

void Node::handle_vote_response(TimePoint now, const Message& message, const VoteResponse& response,
                                Actions& actions) {
  if (!response.granted || role_ != Role::Candidate)
    return;
  granted_votes_.insert(message.from);
  advance_election(now, actions);
}

// ---- A follower's side of replication

void Node::follow_leader(TimePoint now, const Message& message, Actions& actions) {
  become_follower(now, message.term, message.from, actions);
  last_leader_message_at_ = now;
  reset_election_timer(now);
}

void Node::append_entries(const Message& message, const AppendEntriesRequest& request,
                          Actions& actions) {
  const Index previous = request.previous_log_index;
  const Index last_new_index = previous + request.entries.size();
  for (std::size_t i = 0; i < request.entries.size(); ++i)
    if (request.entries[i].index != previous + 1 + i)
      return;  // The request is malformed: a leader's entries have no gaps.
  AppendEntriesResponse response;
  response.heartbeat_round = request.heartbeat_round;
  const Index last = state_.last_log_index();
  const bool conflicts =
      previous >= state_.snapshot.index && state_.term_at(previous) != request.previous_log_term;
  if (previous > last || conflicts) {
    response.match_index = std::max(std::min(last, previous - 1), commit_index_);
    return send(make_message(message.from, response), actions);
  }
  if (contradicts_committed_log(request.entries))
    return;
  merge_entries(request.entries);
  commit_index_ = std::max(commit_index_, std::min(request.leader_commit, last_new_index));
  apply_committed(actions);
  response.success = true;
  response.match_index = std::max(last_new_index, std::min(commit_index_, state_.last_log_index()));
  send_after_persist(make_message(message.from, response), actions);
}

// Returns whether an entry differs from the committed one at its index, which never changes.
bool Node::contradicts_committed_log(const std::vector<LogEntry>& entries) const {
  return std::any_of(entries.begin(), entries.end(), [this](const LogEntry& entry) {
    const bool is_committed = entry.index > state_.snapshot.index && entry.index <= commit_index_;
    return is_committed && state_.term_at(entry.index) != entry.term;
  });
}

void Node::merge_entries(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.index <= state_.snapshot.index || state_.term_at(entry.index) == entry.term)
      continue;
    if (entry.index <= state_.last_log_index())
      truncate_log_from(entry.index);
    state_.log.push_back(entry);
    persistence_.mark_changed();
  }
}

void Node::install_snapshot(const Message& message, const InstallSnapshotRequest& request,
                            Actions& actions) {
  const Snapshot& snapshot = request.snapshot;
  if (snapshot.index > commit_index_) {
    const bool log_contains_snapshot_entry = state_.term_at(snapshot.index) == snapshot.term &&
                                             snapshot.index <= state_.last_log_index();
    if (log_contains_snapshot_entry) {
      state_.compact_to(snapshot);
    } else {
      truncate_log_from(state_.snapshot.index + 1);
      state_.snapshot = snapshot;
    }
    commit_index_ = snapshot.index;
    last_applied_ = snapshot.index;
    snapshot_requested_ = false;
    persistence_.mark_changed();
    actions.push_back(RestoreSnapshot{snapshot});
  }
  const AppendEntriesResponse response{true, commit_index_, request.heartbeat_round};
  send_after_persist(make_message(message.from, response), actions);
}

}  // namespace gorsebeam::raft
