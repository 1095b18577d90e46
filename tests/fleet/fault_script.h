/// The faults of one simulated run: drawn from a seed, printed, and read back to reproduce the run.
#pragma once

#include "virtual_time.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace gorsebeam::simulation {

constexpr Duration kLeaseDuration = 1s;
constexpr TimePoint kFaultsEnd{6s};
constexpr TimePoint kRunEnd = kFaultsEnd + 8 * kLeaseDuration;

enum class FaultKind {
  Kill,
  Wipe,  ///< Kills the process and erases its disk.
  Start,
  Stall,  ///< Suspends the process, as SIGSTOP does.
  Wake,   ///< Continues a stalled process, as SIGCONT does.
  Cut,    ///< Drops the messages from `gateway` to `peer` until the next Heal.
  Heal,
  DiskFails,  ///< Makes writes fail until the next DiskWorks.
  DiskWorks,
};

struct Fault {
  TimePoint at{};
  FaultKind kind = FaultKind::Kill;
  int gateway = 0;
  int peer = 0;  ///< Used only by Cut and Heal.
};

struct FaultScript {
  std::uint64_t seed = 1;
  int voters = 3;
  int gateways = 5;  ///< The first `voters` of them are the voters.
  std::vector<Fault> faults;
};

/// Draws the faults of a run. Each fault is paired with the event that ends it, by kFaultsEnd at
/// the latest.
[[nodiscard]] FaultScript draw_fault_script(std::uint64_t seed);
/// Prints the line "seed SEED VOTERS GATEWAYS" and a line "MILLISECONDS KIND GATEWAY PEER" for each
/// fault.
void print_fault_script(const FaultScript& script, std::ostream& out);
/// Reads what print_fault_script() prints. Returns nothing if the first line is malformed or a
/// fault has an unknown kind. A line that is malformed otherwise ends the script without an error.
[[nodiscard]] std::optional<FaultScript> read_fault_script(std::istream& in);

}  // namespace gorsebeam::simulation
