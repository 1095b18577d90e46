/// Injects faults at random times. Each fault and its target, which is a gateway or an endpoint,
/// are drawn from the seed. How many numbers a fault draws depends on the state of its target, so
/// that two runs with one seed may inject different faults.
#pragma once

#include "fake_endpoint.h"
#include "gateway_under_test.h"
#include "soak_context.h"

#include <memory>
#include <string>
#include <vector>

namespace fault_soak {

/// Injects the faults of one run and records them in the report. The context, the gateways and the
/// endpoints must outlive it.
class FaultInjector {
public:
  FaultInjector(SoakContext& context, std::vector<std::unique_ptr<GatewayUnderTest>>& gateways,
                FakeEndpointGroup& endpoints)
      : context_(context), gateways_(gateways), endpoints_(endpoints) {}

  FaultInjector(const FaultInjector&) = delete;
  FaultInjector& operator=(const FaultInjector&) = delete;

  /// Starts to inject faults, for the duration in the settings.
  void start();

  /// Makes the discovery agent of each gateway send the current status of the endpoints.
  void publish_endpoints();

private:
  using Fault = void (FaultInjector::*)();

  void inject_after(Millis delay);
  void inject_fault();
  Fault draw_fault();
  Fault draw_recovery_fault();

  void pause_gateway();
  void terminate_gateway();
  void send_further_signal(GatewayUnderTest& gateway);
  void kill_gateway();
  void reload_gateway();
  void inject_agent_fault();
  void drain_endpoint();
  void make_endpoint_unresponsive();
  void close_endpoint_connections();
  void slow_handshakes();
  void flood_connections();
  void restart_endpoint();
  void stop_replication();
  void begin_crowd();

  GatewayUnderTest& draw_gateway();
  FakeEndpoint& draw_endpoint();
  void log_fault(const std::string& kind, const std::string& detail);
  void log_fault(const std::string& kind, int target, Millis duration);

  SoakContext& context_;
  std::vector<std::unique_ptr<GatewayUnderTest>>& gateways_;
  FakeEndpointGroup& endpoints_;
  Millis started_at_ = 0;
};

}  // namespace fault_soak
