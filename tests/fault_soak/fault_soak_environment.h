/// Gateways between stand-in clients, endpoints and agents, and faults among them that are drawn
/// from a seed and overlap in time.
#pragma once

#include "gateway_under_test.h"
#include "oracle.h"

#include "integration/protocol.h"
#include "net/listener.h"
#include "net/stream.h"
#include "net/timer.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fault_soak {

struct SoakSettings {
  std::string program;
  std::string shim;  ///< Empty: the processes meet no errors of system calls.
  std::uint64_t seed = 1;
  int gateways = 10;
  int endpoints = 6;
  int clients_per_gateway = 6;
  Millis duration = 12'000;
};

struct SoakReport {
  std::vector<Violation> violations;
  std::vector<std::string> fault_log;
  std::map<std::string, int> faults;
  std::size_t requests = 0;
  std::size_t attempts = 0;
  std::map<std::string, int> result_counts;
  Millis longest_iteration =
      0;  ///< Of the stand-ins' own loop: a run that was held up shows nothing.
};

class FaultSoakEnvironment {
public:
  explicit FaultSoakEnvironment(const SoakSettings& settings);
  FaultSoakEnvironment(const FaultSoakEnvironment&) = delete;
  FaultSoakEnvironment& operator=(const FaultSoakEnvironment&) = delete;
  ~FaultSoakEnvironment();

  /// Plays the faults, then waits until all is answered, and ends the processes.
  [[nodiscard]] SoakReport run();

  /// All lines that a gateway has logged.
  [[nodiscard]] const std::string& log_of(int gateway) const;

private:
  struct EndpointConnection;
  struct FakeEndpoint;
  struct FakeClient;
  struct Gateway;

  Millis draw(Millis low, Millis high);
  /// Faults have numbers of their own, so that traffic does not change which are drawn.
  Millis draw_fault(Millis low, Millis high);
  bool draw_bool(double probability);
  void after(Millis delay, std::function<void()> action);
  void log_fault(const std::string& name, const std::string& detail);

  void start_faults();
  void inject_fault();
  void pause_gateway();
  void terminate_gateway();
  void kill_gateway();
  void reload_gateway();
  void disturb_agent();
  void drain_endpoint();
  void hang_endpoint();
  void reset_endpoint();
  void delay_handshakes();
  void flood_connections();

  Gateway& any_gateway();
  void gateway_ready(Gateway& gateway);
  void gateway_exited(Gateway& gateway, int status);
  void start_gateway(Gateway& gateway);
  void notified(const Gateway& gateway);
  void publish();
  void elect_primary();
  /// Has attempts whose connection is closed by now end before another one counts.
  void end_closed_attempts(const std::string& request_id);
  void finish();
  static void run_loop_until(const std::function<bool()>& condition);

  const SoakSettings settings_;
  std::mt19937_64 random_;
  std::mt19937_64 fault_random_;
  Oracle oracle_;
  SoakReport report_;
  std::string folder_;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::list<std::unique_ptr<gorsebeam::net::Timer>> timers_;
  std::vector<std::unique_ptr<FakeClient>> flood_clients_;
  Millis started_at_ = 0;
  int next_request_ = 0;
  bool is_over_ = false;
};

}  // namespace fault_soak
