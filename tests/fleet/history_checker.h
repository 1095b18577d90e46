/// Checks the rules of Raft and of the lease service against the history of applied entries and
/// actions. It shares no code with the modules under test and does not depend on their decisions.
#pragma once

#include "raft/persistent_state.h"
#include "virtual_time.h"

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::simulation {

/// Ends the run; the text names the rule and the violation.
class RuleViolation : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Each check throws RuleViolation.
class HistoryChecker {
public:
  /// Election safety: at most one leader in a term.
  void record_leader(raft::Term term, int gateway);
  /// State machine safety: all nodes apply the same entry at an index.
  void record_applied(const raft::LogEntry& entry);
  /// All nodes have the same state after an index.
  void record_state(raft::Index index, const std::string& state);
  /// Mutual exclusion: at most one gateway has a valid token of a role at a time.
  static void check_exclusive(const std::string& role, const std::vector<std::string>& holders);
  /// Fencing: an action was accepted under a token no lower than any before it.
  void record_action(TimePoint now, const std::string& role, leases::FencingToken token);
  /// Liveness: an action was accepted under the role since that time.
  void check_progress(const std::string& role, TimePoint since) const;

  [[nodiscard]] std::uint64_t actions() const { return actions_; }

  /// For each change of holder, the time from the last action under one token to the first under
  /// the next.
  [[nodiscard]] const std::vector<Duration>& handover_times() const { return handover_times_; }

private:
  struct LastAction {
    leases::FencingToken token = 0;
    TimePoint at{};
  };

  std::map<raft::Term, int> leaders_;
  std::map<raft::Index, std::pair<raft::Term, std::string>> applied_;
  std::map<raft::Index, std::string> states_;
  std::map<std::string, LastAction> last_actions_;  ///< By role.
  std::uint64_t actions_ = 0;
  std::vector<Duration> handover_times_;
};

}  // namespace gorsebeam::simulation
