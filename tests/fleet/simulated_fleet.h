/// A fleet in virtual time: Raft nodes, lease managers and lease clients of several gateways, whose
/// disks, clocks and network are drawn from a seed and disturbed by a script of faults.
#pragma once

#include "event_digest.h"
#include "fault_script.h"
#include "history_checker.h"
#include "leases/lease_client.h"
#include "leases/lease_manager.h"
#include "leases/token_fence.h"
#include "mutants.h"
#include "process.h"
#include "raft/node.h"
#include "simulated_disk.h"
#include "simulated_network.h"
#include "virtual_time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gorsebeam::simulation {

class SimulatedFleet {
public:
  SimulatedFleet(const FaultScript& script, Mutant mutant);

  /// Runs the script up to kRunEnd. Throws RuleViolation at the first violation of a rule.
  void run();

  [[nodiscard]] const EventDigest& digest() const { return digest_; }

  [[nodiscard]] const HistoryChecker& checker() const { return checker_; }

  /// The number of actions that the receiver rejected because of their token.
  [[nodiscard]] std::uint64_t rejected_actions() const { return rejected_actions_; }

  /// The number of Raft messages that leaders sent and of lease responses.
  [[nodiscard]] std::uint64_t messages_from_leader() const { return messages_from_leader_; }

  /// The number of Raft messages that other nodes sent and of lease requests.
  [[nodiscard]] std::uint64_t messages_from_others() const { return messages_from_others_; }

private:
  struct Gateway {
    Gateway(EventQueue& queue, Random& random) : process(queue), disk(queue, random) {}

    int number = 0;
    std::string name;
    bool is_voter = false;
    bool was_wiped = false;
    SimulatedClock clock;
    Process process;
    SimulatedDisk disk;

    // The objects that are replaced at each start of the process.
    std::unique_ptr<raft::Node> node;  ///< Null if the gateway is not a voter.
    leases::LeaseTable table;
    std::unique_ptr<leases::LeaseManager> manager;
    std::unique_ptr<leases::LeaseClient> client;
    // The last deadlines for which a timer was scheduled; the epoch once that timer has run.
    TimePoint node_deadline{};
    TimePoint manager_deadline{};
    TimePoint client_deadline{};

    /// The gateway whose lease manager responded last.
    std::string last_responder;
    /// Whether no response has arrived since the last request, or since the start of the run.
    bool awaits_response = true;
  };

  using NodeEvent = std::function<void(raft::Node&, TimePoint, raft::Actions&)>;
  using ManagerEvent =
      std::function<void(leases::LeaseManager&, TimePoint, leases::ManagerActions&)>;
  using ClientEvent = std::function<void(leases::LeaseClient&, TimePoint, leases::ClientActions&)>;

  [[nodiscard]] std::unique_ptr<Gateway> make_gateway(int number);
  Gateway& gateway_named(const std::string& name);
  [[nodiscard]] TimePoint local_now(const Gateway& gateway) const;
  void start_gateway(Gateway& gateway);
  void start_raft_node(Gateway& gateway);
  void inject(const Fault& fault);
  void check_progress() const;

  // Raft (simulated_fleet_raft.cpp).
  void run_node(Gateway& gateway, const NodeEvent& event);
  void perform(Gateway& gateway, const raft::Action& action);
  void send(Gateway& sender, const raft::Message& message);
  void persist(Gateway& gateway, const raft::PersistState& write);
  void report_persisted(Gateway& gateway, std::uint64_t number);
  void apply(Gateway& gateway, const raft::LogEntry& entry);
  void restore(Gateway& gateway, const raft::Snapshot& snapshot);
  void record_role_change(Gateway& gateway, const raft::RoleChanged& change);

  // Leases (simulated_fleet_leases.cpp).
  void run_manager(Gateway& gateway, const ManagerEvent& event);
  void run_client(Gateway& gateway, const ClientEvent& event);
  void perform(Gateway& gateway, const leases::ManagerAction& action);
  void confirm_leadership(Gateway& gateway);
  void send(Gateway& sender, const leases::LeaseResponse& response);
  void send(Gateway& sender, const leases::LeaseRequest& request);
  void transmit(Gateway& from, Gateway& to, const Callback& callback);
  void schedule_actions(Gateway& gateway);
  void start_action(Gateway& gateway, const std::string& role);
  void receive_action(const std::string& role, leases::FencingToken token);
  void check_exclusive(const std::string& role) const;

  /// Schedules `tick` for the state machine's next deadline, once for each deadline.
  template <typename StateMachine, typename Tick>
  void arm_timer(Gateway& gateway, const StateMachine& machine, TimePoint& scheduled_deadline,
                 const Tick& tick) {
    const TimePoint deadline = machine.next_deadline();
    if (deadline == kNever || deadline == scheduled_deadline)
      return;
    scheduled_deadline = deadline;
    const Callback callback = [&machine, &scheduled_deadline, deadline, tick] {
      if (machine.next_deadline() != deadline)
        return;
      scheduled_deadline = TimePoint{};
      tick();
    };
    gateway.process.schedule(gateway.clock.wake_time(deadline), callback);
  }

  FaultScript script_;
  Mutant mutant_;
  Random random_;
  EventQueue queue_;
  SimulatedNetwork network_;
  leases::Settings lease_settings_;
  std::vector<std::string> voters_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  leases::TokenFence fence_;
  HistoryChecker checker_;
  EventDigest digest_;
  std::uint64_t rejected_actions_ = 0;
  std::uint64_t messages_from_leader_ = 0;
  std::uint64_t messages_from_others_ = 0;
};

}  // namespace gorsebeam::simulation
