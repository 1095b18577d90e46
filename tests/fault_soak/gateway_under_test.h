/// One gateway with its discovery agent, its clients and the faults that affect them.
#pragma once

#include "fake_client.h"
#include "fake_discovery_agent.h"
#include "fake_endpoint.h"
#include "gateway_process.h"
#include "soak_context.h"

#include "integration/listed_status.h"

#include <memory>
#include <string>
#include <vector>

namespace fault_soak {

/// One gateway, whose process is restarted whenever it has exited. The context and the endpoints
/// must outlive it.
class GatewayUnderTest {
public:
  /// Creates a folder below `parent_folder` for the process's files.
  GatewayUnderTest(SoakContext& context, const FakeEndpointGroup& endpoints, int index,
                   const std::string& parent_folder);
  GatewayUnderTest(const GatewayUnderTest&) = delete;
  GatewayUnderTest& operator=(const GatewayUnderTest&) = delete;

  [[nodiscard]] int index() const { return index_; }

  /// Whether the process listens and has not been told to end.
  [[nodiscard]] bool is_serving() const { return process_.is_ready() && !is_ending_; }

  [[nodiscard]] bool is_paused() const { return is_paused_; }

  [[nodiscard]] bool is_running() const { return process_.is_running(); }

  [[nodiscard]] const std::string& log() const { return process_.log(); }

  [[nodiscard]] FakeDiscoveryAgent& agent() { return agent_; }

  void start();
  /// Makes the discovery agent send the current status of the endpoints.
  void publish_endpoints();

  /// Suspends the process for `duration` with SIGSTOP.
  void pause_for(Millis duration);
  /// Sends SIGTERM, and SIGKILL at the earliest time at which the operators do, if the process
  /// still runs then.
  void terminate();
  /// Sends a further signal to the present process after `delay`, if it still runs then.
  void send_signal_after(Millis delay, int number);
  /// Suspends the present process after `delay`, if it still runs then.
  void pause_after(Millis delay, Millis duration);
  void kill();
  /// Moves the discovery agent to another address and makes the process reload its configuration,
  /// which then names that address.
  void reload_with_moved_agent();
  /// Opens connections on which no request is sent.
  void open_idle_connections(int count);
  /// Resumes the process if it is paused, and terminates it.
  void finish();

private:
  [[nodiscard]] static ProcessSettings process_settings(SoakContext& context, int index,
                                                        const std::string& parent_folder);
  /// Runs the task after `delay` if the present process still runs then.
  void run_in_process_after(Millis delay, std::function<void()> task);
  void handle_ready();
  void handle_exit(int wait_status);
  void notify_oracle_of_list();

  SoakContext& context_;
  const FakeEndpointGroup& endpoints_;
  const int index_;
  FakeDiscoveryAgent agent_;
  GatewayProcess process_;
  std::vector<std::unique_ptr<FakeClient>> clients_;
  std::vector<std::unique_ptr<FakeClient>> idle_clients_;
  /// For each endpoint, the status that was last reported to the oracle.
  std::vector<test_harness::ListedStatus> statuses_known_to_oracle_;
  bool is_paused_ = false;
  bool is_ending_ = false;  ///< Whether the process was sent SIGTERM or SIGKILL.
};

}  // namespace fault_soak
