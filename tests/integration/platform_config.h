/// The platform's JSON configuration of a gateway under test.
#pragma once

#include <string>
#include <vector>

namespace test_harness {

/// A service class of the configuration.
struct PlatformClass {
  std::string name;
  std::string effect;      ///< `free`, `guarded` or `single_shot`.
  std::string read_level;  ///< `eventual`, `lag_bound`, `causal` or `mutate`.
  int latency_objective_ms = 2000;
  int deadline_ms = 3000;
  int deduplication_window_ms = 2000;
  std::string late_weight_fraction = "0";  ///< A JSON number: `late_worth` in the configuration.
  int max_staleness_ms = 0;  ///< Of the level `lag_bound`: `lag_allowed` in the configuration.
};

/// The settings in which tests differ; encode_platform_config() adds those that they share.
struct PlatformConfig {
  std::string name = "n0";
  std::string seed = "8c1f";
  std::string listen_address;
  std::string discovery_address;
  std::size_t max_sockets = 400;
  int connect_timeout_ms = 250;
  int keepalive_ms = 30'000;
  /// `kept`: the gateway knows what its sessions wrote; `brought`: their reads carry it.
  std::string token_mode = "kept";
  int gateways = 1;  ///< `balancers` in the configuration.
  /// Slow start of endpoints; 0: there is none.
  int slow_start_ms = 0;
  std::string initial_capacity = "0.5";  ///< A JSON number: `cold_from` in the configuration.
  int overload_window_ms = 0;
  std::string overload_factor = "1";  ///< A JSON number: `fall_multiple` in the configuration.
  std::vector<PlatformClass> classes;
};

/// The maximum number of attempts of a request, `send_cap` in the configuration.
constexpr std::size_t kMaxAttempts = 6;

[[nodiscard]] std::string encode_platform_config(const PlatformConfig& config);

}  // namespace test_harness
