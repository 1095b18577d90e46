// The fleet's gateways, its faults and the rules that are checked at the end of a run.
#include "simulated_fleet.h"

#include <algorithm>
#include <cstddef>

namespace gorsebeam::simulation {
namespace {

constexpr std::int64_t kMaxClockDriftPpm = 2000;
constexpr std::int64_t kExcessiveClockDriftPpm = 300'000;

}  // namespace

SimulatedFleet::SimulatedFleet(const FaultScript& script, Mutant mutant)
    : script_(script), mutant_(mutant), random_(script.seed), network_(queue_, random_, kFaultsEnd),
      lease_settings_{{"speaker", "watcher"}, kLeaseDuration, kMaxClockDriftPpm, 1} {
  for (int number = 0; number < script_.gateways; ++number) {
    gateways_.push_back(make_gateway(number));
    if (gateways_.back()->is_voter)
      voters_.push_back(gateways_.back()->name);
  }
  for (const auto& gateway : gateways_)
    start_gateway(*gateway);
  for (const Fault& fault : script_.faults)
    queue_.schedule(fault.at, [this, fault] {
      inject(fault);
    });
}

std::unique_ptr<SimulatedFleet::Gateway> SimulatedFleet::make_gateway(int number) {
  auto gateway = std::make_unique<Gateway>(queue_, random_);
  gateway->number = number;
  gateway->name = "g" + std::to_string(number);
  gateway->is_voter = number < script_.voters;
  const bool is_excessive = mutant_ == Mutant::ClockBeyondDrift;
  const std::int64_t max_drift = is_excessive ? kExcessiveClockDriftPpm : kMaxClockDriftPpm;
  const std::int64_t drift_ppm = random_.between(-max_drift, max_drift);
  gateway->clock.rate = 1 + 1e-6 * static_cast<double>(drift_ppm) * 0.999;
  gateway->clock.offset = std::chrono::milliseconds(random_.between(0, 1'000'000));
  return gateway;
}

SimulatedFleet::Gateway& SimulatedFleet::gateway_named(const std::string& name) {
  const auto has_name = [&](const auto& gateway) {
    return gateway->name == name;
  };
  return **std::find_if(gateways_.begin(), gateways_.end(), has_name);
}

TimePoint SimulatedFleet::local_now(const Gateway& gateway) const {
  return gateway.clock.local_time(queue_.now());
}

void SimulatedFleet::run() {
  queue_.run_until(kRunEnd);
  check_progress();
}

// The faults end long before the run does. Therefore actions of each role must be accepted near the
// end of the run, unless too many voters have lost their state.
void SimulatedFleet::check_progress() const {
  const auto is_intact_voter = [](const auto& gateway) {
    return gateway->is_voter && !gateway->was_wiped;
  };
  const auto intact_voters = std::count_if(gateways_.begin(), gateways_.end(), is_intact_voter);
  if (intact_voters < script_.voters / 2 + 1)
    return;
  for (const std::string& role : lease_settings_.roles)
    checker_.check_progress(role, kRunEnd - 2 * kLeaseDuration);
}

void SimulatedFleet::start_gateway(Gateway& gateway) {
  gateway.process.start();
  gateway.table = {};
  lease_settings_.random_seed = random_.next();
  gateway.manager = std::make_unique<leases::LeaseManager>(lease_settings_);
  const std::string holder = gateway.name + "~" + std::to_string(gateway.process.incarnation());
  const std::string zone = gateway.number % 2 == 1 ? "east" : "west";
  gateway.client = std::make_unique<leases::LeaseClient>(lease_settings_, holder, zone);
  gateway.node_deadline = TimePoint{};
  gateway.manager_deadline = TimePoint{};
  gateway.client_deadline = TimePoint{};
  run_client(gateway, [](auto& client, TimePoint now, auto&) {
    client.start(now);
  });
  schedule_actions(gateway);
  if (gateway.is_voter)
    start_raft_node(gateway);
}

void SimulatedFleet::start_raft_node(Gateway& gateway) {
  raft::Settings settings;
  settings.self = gateway.name;
  settings.voters = voters_;
  settings.random_seed = random_.next();
  settings.heartbeat_interval = 100ms;
  settings.min_election_timeout = 400ms;
  settings.max_log_entries = 8;
  std::optional<raft::PersistentState> stored = gateway.disk.content();
  const bool is_restart = gateway.process.incarnation() > 1;
  if (!stored && is_restart && mutant_ == Mutant::VotesAfterStateLoss)
    stored = raft::PersistentState{};
  gateway.node = std::make_unique<raft::Node>(settings, stored);
  run_node(gateway, [](auto& node, TimePoint now, auto& actions) {
    node.start(now, actions);
  });
}

void SimulatedFleet::inject(const Fault& fault) {
  Gateway& gateway = *gateways_[static_cast<std::size_t>(fault.gateway)];
  switch (fault.kind) {
  case FaultKind::Kill:
    return gateway.process.kill();
  case FaultKind::Wipe:
    gateway.process.kill();
    gateway.disk.wipe();
    gateway.was_wiped = true;
    return;
  case FaultKind::Start:
    if (!gateway.process.is_alive())
      start_gateway(gateway);
    return;
  case FaultKind::Stall:
    return gateway.process.stall();
  case FaultKind::Wake:
    return gateway.process.wake();
  case FaultKind::Cut:
    return network_.cut(fault.gateway, fault.peer);
  case FaultKind::Heal:
    return network_.heal(fault.gateway, fault.peer);
  case FaultKind::DiskFails:
    return gateway.disk.start_failing();
  case FaultKind::DiskWorks:
    return gateway.disk.stop_failing();
  }
}

}  // namespace gorsebeam::simulation
