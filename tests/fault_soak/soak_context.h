/// The settings, the report and the state that all parts of one run share.
#pragma once

#include "delayed_tasks.h"
#include "oracle.h"
#include "random_source.h"
#include "service_classes.h"
#include "soak_clock.h"
#include "verdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fault_soak {

/// Which faults are injected.
enum class FaultProfile {
  All,
  Recovery,  ///< Endpoints that leave and start again, gateways that end, crowds; no pauses.
};

struct SoakSettings {
  std::string program;
  std::string shim;  ///< Path of a library to preload into the processes; empty: none.
  std::uint64_t seed = 1;
  int gateways = 10;
  int endpoints = 6;
  int clients_per_gateway = 6;
  Millis max_think_time = 250;  ///< The longest time from a response to the next request.
  Millis duration = 12'000;
  FaultProfile profile = FaultProfile::All;
};

struct SoakReport {
  std::vector<Violation> violations;  ///< Those that no delay of the soak itself explains.
  Verdict verdict = Verdict::Invalid;
  std::vector<std::string> fault_log;        ///< A line for each fault: its time, kind and target.
  std::map<std::string, int> fault_counts;   ///< The number of faults of each kind.
  std::map<std::string, int> result_counts;  ///< By result: `served`, `rejected`, `failed`.
  std::size_t requests = 0;
  std::size_t attempts = 0;
  /// The highest share of its budget that any endpoint in slow start got.
  double slow_start_utilization = 0;
  Millis longest_iteration = 0;  ///< Of the soak's own event loop.
};

/// All members are used on the main loop's thread only.
struct SoakContext {
  explicit SoakContext(SoakSettings soak_settings)
      : settings(std::move(soak_settings)), traffic_random(settings.seed),
        fault_random(~settings.seed) {}

  SoakContext(const SoakContext&) = delete;
  SoakContext& operator=(const SoakContext&) = delete;
  ~SoakContext() = default;

  const SoakSettings settings;
  RandomSource traffic_random;
  /// Separate from `traffic_random`, so that the traffic does not affect which faults are drawn.
  RandomSource fault_random;
  Oracle oracle{kDeduplicationWindow};
  SoakReport report;
  DelayedTasks tasks;
  int next_request_number = 0;
  Millis crowd_until = 0;    ///< Until then, clients send requests in quick succession.
  bool is_run_over = false;  ///< If set, no request is sent and no process started.
};

}  // namespace fault_soak
