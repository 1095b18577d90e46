#include "node.h"

#include <utility>

namespace gorsebeam::raft {

Node::Node(Settings settings, std::optional<PersistentState> stored)
    : settings_(std::move(settings)), found_no_state_(!stored.has_value()),
      persistence_(stored ? stored->last_log_index() : 0), random_(settings_.random_seed) {
  if (stored)
    state_ = std::move(*stored);
  commit_index_ = state_.snapshot.index;
  last_applied_ = state_.snapshot.index;
}

void Node::start(TimePoint now, Actions& actions) {
  if (found_no_state_)
    return become_recovering(now, actions);
  if (state_.snapshot.index > 0)
    actions.push_back(RestoreSnapshot{state_.snapshot});
  change_role(now, Role::Follower, "", actions);
}

bool Node::is_voter(const std::string& name) const {
  return std::find(settings_.voters.begin(), settings_.voters.end(), name) !=
         settings_.voters.end();
}

// ---- Sending and persisting

Message Node::make_message(const std::string& to, MessageBody body) const {
  return {settings_.self, to, state_.current_term, std::move(body)};
}

void Node::send(Message message, Actions& actions) {
  actions.push_back(SendMessage{std::move(message)});
}

void Node::send_after_persist(Message message, Actions& actions) {
  if (persistence_.is_persisted(persistence_.required_write()))
    send(std::move(message), actions);
  else
    persistence_.hold(std::move(message));
}

void Node::send_to_others(const MessageBody& body, Actions& actions) {
  for (const std::string& name : settings_.voters)
    if (name != settings_.self)
      send(make_message(name, body), actions);
}

void Node::persist_if_changed(Actions& actions) {
  if (const auto number = persistence_.start_write(state_.last_log_index()))
    actions.push_back(PersistState{*number, state_});
}

void Node::handle_persisted(TimePoint now, WriteNumber number, Actions& actions) {
  for (Message& message : persistence_.finish_writes(number))
    send(std::move(message), actions);
  if (is_campaigning())
    advance_election(now, actions);
  if (role_ == Role::Leader)
    advance_commit_and_confirmed_round(actions);
  persist_if_changed(actions);
}

void Node::handle_persist_failure(TimePoint now, Actions& actions) {
  persistence_.record_failure(now + settings_.min_election_timeout);
  if (role_ == Role::Leader || is_campaigning())
    become_follower(now, state_.current_term, "", actions);
  persist_if_changed(actions);
}

void Node::truncate_log_from(Index first) {
  state_.truncate_from(first);
  persistence_.truncate_log(first - 1);
}

// ---- Role transitions

void Node::change_role(TimePoint now, Role role, const std::string& leader, Actions& actions) {
  role_ = role;
  leader_ = leader;
  if (role != Role::Leader)
    progress_.clear();
  has_empty_state_.clear();
  granted_votes_.clear();
  reset_election_timer(now);
  actions.push_back(RoleChanged{role_, state_.current_term, leader_});
}

void Node::reset_election_timer(TimePoint now) {
  const Duration shortest = settings_.min_election_timeout;
  deadline_ = now + Duration(std::uniform_int_distribution<Duration::rep>(
                        shortest.count(), 2 * shortest.count())(random_));
}

void Node::become_recovering(TimePoint now, Actions& actions) {
  // A random number distinguishes replies to this start from replies to earlier starts.
  recovery_attempt_ = random_();
  change_role(now, Role::Recovering, "", actions);
  send_to_others(RecoveryQuery{recovery_attempt_}, actions);
  deadline_ = now + settings_.heartbeat_interval;
}

void Node::become_follower(TimePoint now, Term term, const std::string& leader, Actions& actions) {
  if (term == state_.current_term && role_ == Role::Follower && leader == leader_)
    return;
  if (term > state_.current_term) {
    state_.current_term = term;
    state_.voted_for.clear();
    persistence_.mark_changed();
  }
  change_role(now, Role::Follower, leader, actions);
}

void Node::become_pre_candidate(TimePoint now, Actions& actions) {
  change_role(now, Role::PreCandidate, "", actions);
  const Index last = state_.last_log_index();
  for (const std::string& name : settings_.voters) {
    if (name == settings_.self)
      continue;
    Message request = make_message(name, PreVoteRequest{last, state_.term_at(last)});
    request.term = state_.current_term + 1;
    send(std::move(request), actions);
  }
}

void Node::become_candidate(TimePoint now, Actions& actions) {
  ++state_.current_term;
  state_.voted_for = settings_.self;
  persistence_.mark_changed();
  change_role(now, Role::Candidate, "", actions);
  own_vote_write_ = persistence_.required_write();
  const Index last = state_.last_log_index();
  for (const std::string& name : settings_.voters) {
    if (name == settings_.self)
      continue;
    // The request states that this node votes for itself, so that vote is persisted first.
    send_after_persist(make_message(name, VoteRequest{last, state_.term_at(last)}), actions);
  }
}

bool Node::has_election_quorum() const {
  const bool own_vote_counts =
      role_ == Role::PreCandidate || persistence_.is_persisted(own_vote_write_);
  const std::size_t votes = granted_votes_.size() + (own_vote_counts ? 1 : 0);
  // The first term needs the pre-votes of all voters. It must not start while a node is recovering,
  // because that node could not find out later whether it had voted.
  const bool is_first_term = role_ == Role::PreCandidate && state_.current_term == 0;
  return votes >= (is_first_term ? settings_.voters.size() : majority());
}

void Node::advance_election(TimePoint now, Actions& actions) {
  if (!has_election_quorum())
    return;
  if (role_ == Role::PreCandidate)
    become_candidate(now, actions);
  else
    become_leader(now, actions);
}

void Node::become_leader(TimePoint now, Actions& actions) {
  change_role(now, Role::Leader, settings_.self, actions);
  for (const std::string& name : settings_.voters) {
    if (name == settings_.self)
      continue;
    Progress& progress = progress_[name];
    progress.next_index = state_.last_log_index() + 1;
    progress.last_response_at = now;
  }
  ++heartbeat_round_;
  // The leader appends a no-op entry, because entries of earlier terms are committed only together
  // with an entry of the current term (Raft paper, section 5.4.2).
  state_.append("");
  persistence_.mark_changed();
  for (auto& [name, progress] : progress_)
    send_entries(name, progress, actions);
  deadline_ = now + settings_.heartbeat_interval;
}

// ---- Time

void Node::tick(TimePoint now, Actions& actions) {
  persistence_.retry_if_due(now, now + settings_.min_election_timeout);
  if (now >= deadline_)
    handle_deadline(now, actions);
  persist_if_changed(actions);
}

void Node::handle_deadline(TimePoint now, Actions& actions) {
  if (role_ == Role::Recovering) {
    send_to_others(RecoveryQuery{recovery_attempt_}, actions);
    deadline_ = now + settings_.heartbeat_interval;
    return;
  }
  if (role_ == Role::Leader) {
    // Check-quorum (Raft thesis, section 6.2): a leader without an active quorum steps down.
    if (has_active_quorum(now))
      send_heartbeats(now, actions);
    else
      become_follower(now, state_.current_term, "", actions);
    return;
  }
  if (persistence_.has_storage_failed())
    reset_election_timer(now);
  else
    become_pre_candidate(now, actions);
}

bool Node::has_active_quorum(TimePoint now) const {
  std::size_t active = 1;
  for (const auto& [name, progress] : progress_)
    if (now - progress.last_response_at <= settings_.min_election_timeout)
      ++active;
  return active >= majority();
}

void Node::send_heartbeats(TimePoint now, Actions& actions) {
  ++heartbeat_round_;
  for (auto& [name, progress] : progress_) {
    progress.entries_in_flight = false;  // Entries may have been lost, so they are sent again.
    send_entries(name, progress, actions);
  }
  deadline_ = now + settings_.heartbeat_interval;
}

}  // namespace gorsebeam::raft
