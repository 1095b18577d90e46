/// Runs gateway processes with fake clients, endpoints and discovery agents, under faults that are
/// drawn from a seed and overlap in time.
#pragma once

#include "fake_endpoint.h"
#include "fault_injector.h"
#include "gateway_under_test.h"
#include "soak_context.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fault_soak {

/// One run of the fault soak. Its files are in a temporary folder, which the destructor removes.
class FaultSoakEnvironment {
public:
  explicit FaultSoakEnvironment(const SoakSettings& settings);
  FaultSoakEnvironment(const FaultSoakEnvironment&) = delete;
  FaultSoakEnvironment& operator=(const FaultSoakEnvironment&) = delete;
  ~FaultSoakEnvironment();

  /// Starts the gateways, injects the faults, gives the last requests time for their responses, and
  /// terminates the gateways.
  [[nodiscard]] SoakReport run();

  /// All lines that the processes of the gateway have logged.
  [[nodiscard]] const std::string& log_of(int gateway) const;

private:
  void start_gateways();
  void run_faults();
  void end_processes();
  void complete_report();
  static void run_loop_until(const std::function<bool()>& condition);

  SoakContext context_;
  const std::string folder_;
  FakeEndpointGroup endpoints_;
  std::vector<std::unique_ptr<GatewayUnderTest>> gateways_;
  FaultInjector fault_injector_;
  LoopDelays loop_delays_;
  Millis started_at_ = 0;
};

}  // namespace fault_soak
