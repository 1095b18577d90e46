/// Decides which violations count and what a run shows, when the soak's own event loop was delayed.
///
/// The soak observes the gateways on its own event loop. A violation that a delay of that loop can
/// explain does not count, and a run with such a delay does not show that nothing was violated.
#pragma once

#include "oracle.h"
#include "soak_clock.h"

#include <vector>

namespace fault_soak {

enum class Verdict {
  Violated,
  Clean,
  Invalid,  ///< No violation counts, but the soak was delayed, so that there may have been some.
};

/// The number of runs with each verdict.
struct VerdictCounts {
  int violated = 0;
  int clean = 0;
  int invalid = 0;

  void add(Verdict verdict);
};

/// The status with which the soak exits: 1 if a run violated a rule; otherwise 3 if no run was
/// clean, and 0 if at least one was.
[[nodiscard]] int exit_status(const VerdictCounts& counts);

/// The iterations of the soak's event loop that took too long.
class LoopDelays {
public:
  void record_iteration(Millis begin, Millis end);

  [[nodiscard]] Millis longest_iteration() const { return longest_iteration_; }

  /// Whether a delay within the time of the violation is as long as would explain it.
  [[nodiscard]] bool explain(const Violation& violation) const;

  /// The violations that no delay explains.
  [[nodiscard]] std::vector<Violation> unexplained(const std::vector<Violation>& violations) const;

  /// The verdict on a run with the violations `unexplained`.
  [[nodiscard]] Verdict judge(const std::vector<Violation>& unexplained) const;

private:
  struct Delay {
    Millis begin = 0;
    Millis end = 0;
  };

  std::vector<Delay> delays_;
  Millis longest_iteration_ = 0;
};

}  // namespace fault_soak
