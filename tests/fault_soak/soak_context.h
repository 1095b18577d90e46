/// What all parts of one run share.
#pragma once

#include "delayed_tasks.h"
#include "oracle.h"
#include "random_source.h"
#include "service_classes.h"
#include "soak_clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fault_soak {

struct SoakSettings {
  std::string program;
  std::string shim;  ///< A library that is preloaded into the program; empty: none.
  std::uint64_t seed = 1;
  int gateways = 10;
  int endpoints = 6;
  int clients_per_gateway = 6;
  Millis duration = 12'000;
};

struct SoakReport {
  std::vector<Violation> violations;
  std::vector<std::string> fault_log;
  std::map<std::string, int> fault_counts;   ///< By kind.
  std::map<std::string, int> result_counts;  ///< `served`, `rejected` or `failed`.
  std::size_t requests = 0;
  std::size_t attempts = 0;
  Millis longest_iteration =
      0;  ///< Of the soak's own event loop. A run in which it stalled is void.
};

/// Everything runs on the main loop's thread.
struct SoakContext {
  explicit SoakContext(SoakSettings soak_settings)
      : settings(std::move(soak_settings)), traffic_random(settings.seed),
        fault_random(~settings.seed) {}

  SoakContext(const SoakContext&) = delete;
  SoakContext& operator=(const SoakContext&) = delete;
  ~SoakContext() = default;

  const SoakSettings settings;
  RandomSource traffic_random;
  /// Apart from `traffic_random`, so that traffic does not change which faults are drawn.
  RandomSource fault_random;
  Oracle oracle{kDeduplicationWindow};
  SoakReport report;
  DelayedTasks tasks;
  int next_request_number = 0;
  bool is_run_over = false;  ///< No further requests and no further processes.
};

}  // namespace fault_soak
