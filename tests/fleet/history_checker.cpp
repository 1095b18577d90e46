#include "history_checker.h"

namespace gorsebeam::simulation {

void HistoryChecker::record_leader(raft::Term term, int gateway) {
  const auto [recorded, is_new] = leaders_.emplace(term, gateway);
  if (!is_new && recorded->second != gateway)
    throw RuleViolation("election: gateways " + std::to_string(recorded->second) + " and " +
                        std::to_string(gateway) + " both led in term " + std::to_string(term));
}

void HistoryChecker::record_applied(const raft::LogEntry& entry) {
  const std::pair content(entry.term, entry.command);
  const auto [recorded, is_new] = applied_.emplace(entry.index, content);
  if (!is_new && recorded->second != content)
    throw RuleViolation("log: different entries at index " + std::to_string(entry.index) + ": \"" +
                        recorded->second.second + "\" of term " +
                        std::to_string(recorded->second.first) + " and \"" + entry.command +
                        "\" of term " + std::to_string(entry.term));
}

void HistoryChecker::record_state(raft::Index index, const std::string& state) {
  const auto [recorded, is_new] = states_.emplace(index, state);
  if (!is_new && recorded->second != state)
    throw RuleViolation("state: different states after index " + std::to_string(index) + ": \"" +
                        recorded->second + "\" and \"" + state + "\"");
}

void HistoryChecker::check_exclusive(const std::string& role,
                                     const std::vector<std::string>& holders) {
  if (holders.size() > 1)
    throw RuleViolation("lease: " + holders[0] + " and " + holders[1] +
                        " both have a valid token of role " + role);
}

void HistoryChecker::record_action(TimePoint now, const std::string& role,
                                   leases::FencingToken token) {
  ++actions_;
  LastAction& last = last_actions_[role];
  if (token < last.token)
    throw RuleViolation("fencing: an action of role " + role + " under token " +
                        std::to_string(token) + " was accepted after one under token " +
                        std::to_string(last.token));
  if (token > last.token && last.token > 0)
    handover_times_.push_back(now - last.at);
  last = {token, now};
}

void HistoryChecker::check_progress(const std::string& role, TimePoint since) const {
  const auto last = last_actions_.find(role);
  if (last == last_actions_.end() || last->second.at < since)
    throw RuleViolation("progress: no action of role " + role + " was accepted at " +
                        std::to_string(since.time_since_epoch() / 1ms) + " ms or later");
}

}  // namespace gorsebeam::simulation
