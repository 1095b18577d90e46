// A leader's side of replication, commitment, and log compaction.
#include "node.h"

#include <functional>
#include <utility>

namespace gorsebeam::raft {
namespace {

// Returns the largest value that at least `quorum` of the values reach.
template <typename Number>
Number quorum_value(std::vector<Number> values, std::size_t quorum) {
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[quorum - 1];
}

}  // namespace

void Node::send_entries(const std::string& name, Progress& progress, Actions& actions) {
  if (progress.next_index <= state_.snapshot.index) {
    if (progress.entries_in_flight)
      return;
    progress.entries_in_flight = true;
    return send(make_message(name, InstallSnapshotRequest{state_.snapshot, heartbeat_round_}),
                actions);
  }
  AppendEntriesRequest request;
  request.previous_log_index = progress.next_index - 1;
  request.previous_log_term = state_.term_at(request.previous_log_index);
  request.leader_commit = commit_index_;
  request.heartbeat_round = heartbeat_round_;
  if (!progress.entries_in_flight) {
    request.entries = state_.entries_from(progress.next_index, settings_.max_entries_per_message);
    progress.entries_in_flight = !request.entries.empty();
  }
  send(make_message(name, std::move(request)), actions);
}

std::optional<Index> Node::propose(std::string command, Actions& actions) {
  if (role_ != Role::Leader || state_.log.size() >= 2 * settings_.max_log_entries)
    return std::nullopt;
  state_.append(std::move(command));
  persistence_.mark_changed();
  for (auto& [name, progress] : progress_)
    if (!progress.entries_in_flight)
      send_entries(name, progress, actions);
  persist_if_changed(actions);
  return state_.last_log_index();
}

std::optional<std::uint64_t> Node::confirm_leadership(Actions& actions) {
  if (role_ != Role::Leader)
    return std::nullopt;
  ++heartbeat_round_;
  for (auto& [name, progress] : progress_)
    send_entries(name, progress, actions);
  return heartbeat_round_;
}

void Node::handle_append_response(TimePoint now, const Message& message,
                                  const AppendEntriesResponse& response, Actions& actions) {
  const auto found = progress_.find(message.from);
  if (role_ != Role::Leader || found == progress_.end() ||
      response.heartbeat_round > heartbeat_round_)
    return;
  Progress& progress = found->second;
  progress.last_response_at = now;
  progress.acknowledged_round = std::max(progress.acknowledged_round, response.heartbeat_round);
  if (response.success) {
    if (response.match_index > state_.last_log_index())
      return;
    record_match(message.from, progress, response, actions);
  } else {
    // A rejection below the match index is outdated if its round is not newer than that match.
    if (response.match_index < progress.match_index &&
        response.heartbeat_round <= progress.matched_in_round)
      return;
    record_rejection(message.from, progress, response, actions);
  }
  advance_commit_and_confirmed_round(actions);
}

void Node::record_match(const std::string& name, Progress& progress,
                        const AppendEntriesResponse& response, Actions& actions) {
  if (response.match_index >= progress.match_index) {
    progress.match_index = response.match_index;
    progress.matched_in_round = response.heartbeat_round;
  }
  progress.next_index = std::max(progress.next_index, progress.match_index + 1);
  progress.entries_in_flight = false;
  if (progress.next_index <= state_.last_log_index())
    send_entries(name, progress, actions);
}

void Node::record_rejection(const std::string& name, Progress& progress,
                            const AppendEntriesResponse& response, Actions& actions) {
  if (response.match_index < progress.match_index) {
    // The leader sends only entries after the match index, so a current rejection below it means
    // that the node no longer holds entries that it acknowledged.
    if (progress.counts_for_quorum)
      actions.push_back(ReplicaRegressed{name});
    progress.counts_for_quorum = false;
    progress.match_index = response.match_index;
    progress.next_index = response.match_index + 1;
    progress.entries_in_flight = false;
  } else if (response.match_index + 1 < progress.next_index) {
    progress.next_index = response.match_index + 1;
    progress.entries_in_flight = false;
    send_entries(name, progress, actions);
  }
}

void Node::advance_commit_and_confirmed_round(Actions& actions) {
  std::vector<Index> match_indexes{persistence_.persisted_log_index()};
  std::vector<std::uint64_t> rounds{heartbeat_round_};
  for (const auto& [name, progress] : progress_) {
    if (!progress.counts_for_quorum)
      continue;
    match_indexes.push_back(progress.match_index);
    rounds.push_back(progress.acknowledged_round);
  }
  if (match_indexes.size() < majority())
    return;
  const Index replicated = quorum_value(std::move(match_indexes), majority());
  // Only an entry of the current term is committed by counting replicas (Raft paper,
  // section 5.4.2).
  if (replicated > commit_index_ && state_.term_at(replicated) == state_.current_term) {
    commit_index_ = replicated;
    apply_committed(actions);
  }
  const std::uint64_t round = quorum_value(std::move(rounds), majority());
  if (round > confirmed_round_) {
    confirmed_round_ = round;
    actions.push_back(LeadershipConfirmed{round});
  }
}

void Node::apply_committed(Actions& actions) {
  while (last_applied_ < commit_index_) {
    ++last_applied_;
    actions.push_back(ApplyEntry{state_.entry_at(last_applied_)});
  }
  const bool log_is_long = last_applied_ - state_.snapshot.index > settings_.max_log_entries;
  if (snapshot_requested_ || !log_is_long)
    return;
  snapshot_requested_ = true;
  actions.push_back(RequestSnapshot{});
}

void Node::compact_log(std::string state, Actions& actions) {
  snapshot_requested_ = false;
  if (last_applied_ == state_.snapshot.index)
    return;
  state_.compact_to({last_applied_, state_.term_at(last_applied_), std::move(state)});
  persistence_.mark_changed();
  persist_if_changed(actions);
}

}  // namespace gorsebeam::raft
