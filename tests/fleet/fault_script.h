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
  Stall,
  Wake,
  Cut,  ///< From `gateway` to `peer`.
  Heal,
  DiskFails,
  DiskWorks,
};

struct Fault {
  TimePoint at{};
  FaultKind kind = FaultKind::Kill;
  int gateway = 0;
  int peer = 0;  ///< Of Cut and Heal.
};

struct FaultScript {
  std::uint64_t seed = 1;
  int voters = 3;
  int gateways = 5;  ///< The voters are the first of them.
  std::vector<Fault> faults;
};

/// Each fault is paired with the event that ends it, by kFaultsEnd at the latest.
[[nodiscard]] FaultScript draw_fault_script(std::uint64_t seed);
/// "seed SEED VOTERS GATEWAYS", then a line "MILLISECONDS KIND GATEWAY PEER" for each fault.
void print_fault_script(const FaultScript& script, std::ostream& out);
/// Returns none if a line does not have the form that print_fault_script() writes.
[[nodiscard]] std::optional<FaultScript> read_fault_script(std::istream& in);

}  // namespace gorsebeam::simulation
