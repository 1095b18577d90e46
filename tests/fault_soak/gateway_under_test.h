/// One gateway with its discovery agent and its clients, and the faults that concern them.
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

/// Restarts the process whenever it has exited. The context and the endpoints must outlive it.
class GatewayUnderTest {
public:
  /// The process's files are in a new folder below `parent_folder`.
  GatewayUnderTest(SoakContext& context, const FakeEndpointGroup& endpoints, int index,
                   const std::string& parent_folder);
  GatewayUnderTest(const GatewayUnderTest&) = delete;
  GatewayUnderTest& operator=(const GatewayUnderTest&) = delete;

  [[nodiscard]] int index() const { return index_; }

  /// Whether a process listens and was not terminated or killed.
  [[nodiscard]] bool is_serving() const { return process_.is_ready() && !is_ending_; }

  [[nodiscard]] bool is_paused() const { return is_paused_; }

  [[nodiscard]] bool is_running() const { return process_.is_running(); }

  [[nodiscard]] const std::string& log() const { return process_.log(); }

  [[nodiscard]] FakeDiscoveryAgent& agent() { return agent_; }

  void start();
  /// Lets the agent list the endpoints as they are now.
  void publish_endpoints();

  /// Stops the process for `duration`.
  void pause_for(Millis duration);
  void terminate();
  void kill();
  /// Moves the agent to another address and lets the process reload its configuration.
  void reload_with_moved_agent();
  /// Opens connections that stay idle.
  void open_idle_connections(int count);
  /// Ends the process at the end of the run.
  void finish();

private:
  [[nodiscard]] static ProcessSettings process_settings(SoakContext& context, int index,
                                                        const std::string& parent_folder);
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
  /// By endpoint: the status that the oracle knows.
  std::vector<test_harness::ListedStatus> statuses_known_to_oracle_;
  bool is_paused_ = false;
  bool is_ending_ = false;  ///< By SIGTERM or SIGKILL.
};

}  // namespace fault_soak
