#include "verdict.h"

#include <algorithm>
#include <iterator>

namespace fault_soak {

void VerdictCounts::add(Verdict verdict) {
  switch (verdict) {
  case Verdict::Violated:
    ++violated;
    break;
  case Verdict::Clean:
    ++clean;
    break;
  case Verdict::Invalid:
    ++invalid;
    break;
  }
}

int exit_status(const VerdictCounts& counts) {
  constexpr int kViolated = 1;
  constexpr int kNoCleanRun = 3;
  if (counts.violated > 0)
    return kViolated;
  return counts.clean > 0 ? 0 : kNoCleanRun;
}

void LoopDelays::record_iteration(Millis begin, Millis end) {
  longest_iteration_ = std::max(longest_iteration_, end - begin);
  if (end - begin > kMaxIteration)
    delays_.push_back({begin, end});
}

bool LoopDelays::explain(const Violation& violation) const {
  if (!violation.explained_by)
    return false;
  return std::any_of(delays_.begin(), delays_.end(), [&violation](const Delay& delay) {
    const bool overlaps = delay.begin <= violation.at && delay.end >= violation.since;
    return overlaps && delay.end - delay.begin >= *violation.explained_by;
  });
}

std::vector<Violation> LoopDelays::unexplained(const std::vector<Violation>& violations) const {
  std::vector<Violation> result;
  std::copy_if(violations.begin(), violations.end(), std::back_inserter(result),
               [this](const Violation& violation) {
                 return !explain(violation);
               });
  return result;
}

Verdict LoopDelays::judge(const std::vector<Violation>& unexplained) const {
  if (!unexplained.empty())
    return Verdict::Violated;
  return delays_.empty() ? Verdict::Clean : Verdict::Invalid;
}

}  // namespace fault_soak
