/// Checks that the history of applied entries and actions obeys the rules of Raft and of the lease
/// service. The checker shares only data types with the modules under test and does not depend on
/// their decisions.
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

/// Thrown at a violation of a rule, which ends the run. The text names the rule and the violation.
class RuleViolation : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Each method that records or checks something throws RuleViolation if a rule is violated.
class HistoryChecker {
public:
  /// Election safety: at most one leader in a term.
  void record_leader(raft::Term term, int gateway);
  /// State machine safety: all nodes apply the same entry at an index.
  void record_applied(const raft::LogEntry& entry);
  /// State machine safety: all nodes have the same state after the entry at an index.
  void record_state(raft::Index index, const std::string& state);
  /// Mutual exclusion: at most one gateway has a valid token of a role at a time.
  static void check_exclusive(const std::string& role, const std::vector<std::string>& holders);
  /// Fencing: the token of an accepted action is no lower than that of any earlier action of the
  /// role.
  void record_action(TimePoint now, const std::string& role, leases::FencingToken token);
  /// Liveness: an action of the role was accepted at `since` or later.
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
