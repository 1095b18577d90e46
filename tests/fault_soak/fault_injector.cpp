#include "fault_injector.h"

#include <array>
#include <csignal>
#include <cstddef>

namespace fault_soak {

using test_harness::ListedStatus;

namespace {

constexpr Millis kFirstFaultDelay = 500;
constexpr int kMinUpEndpoints = 3;
// The same for the faults around recovery, so that a started endpoint does the work of several.
constexpr int kMinUpEndpointsInRecovery = 2;
constexpr int kFloodConnections = 60;
// The signals that follow SIGTERM, and the longest time within which they do.
constexpr Millis kMaxFurtherSignals = 4;
constexpr Millis kMaxSeriesDuration = 2500;
// The longest time from an endpoint's start to the list that contains it.
constexpr Millis kMaxListingDelay = 2500;

}  // namespace

void FaultInjector::start() {
  started_at_ = now_ms();
  inject_after(kFirstFaultDelay);
}

void FaultInjector::inject_after(Millis delay) {
  context_.tasks.run_after(delay, [this] {
    inject_fault();
  });
}

// Each entry is equally probable, so a fault that stands here twice is twice as probable as others.
FaultInjector::Fault FaultInjector::draw_fault() {
  static constexpr std::array<Fault, 16> kAllFaults{
      &FaultInjector::pause_gateway,
      &FaultInjector::pause_gateway,
      &FaultInjector::pause_gateway,
      &FaultInjector::terminate_gateway,
      &FaultInjector::kill_gateway,
      &FaultInjector::reload_gateway,
      &FaultInjector::inject_agent_fault,
      &FaultInjector::drain_endpoint,
      &FaultInjector::make_endpoint_unresponsive,
      &FaultInjector::close_endpoint_connections,
      &FaultInjector::slow_handshakes,
      &FaultInjector::flood_connections,
      &FaultInjector::restart_endpoint,
      &FaultInjector::stop_replication,
      &FaultInjector::stop_replication,
      &FaultInjector::begin_crowd,
  };
  return kAllFaults.at(context_.fault_random.index(kAllFaults.size()));
}

FaultInjector::Fault FaultInjector::draw_recovery_fault() {
  static constexpr std::array<Fault, 8> kRecoveryFaults{
      &FaultInjector::drain_endpoint,
      &FaultInjector::drain_endpoint,
      &FaultInjector::restart_endpoint,
      &FaultInjector::terminate_gateway,
      &FaultInjector::kill_gateway,
      &FaultInjector::make_endpoint_unresponsive,
      &FaultInjector::make_endpoint_unresponsive,
      &FaultInjector::begin_crowd,
  };
  return kRecoveryFaults.at(context_.fault_random.index(kRecoveryFaults.size()));
}

void FaultInjector::inject_fault() {
  if (now_ms() - started_at_ > context_.settings.duration)
    return;
  const bool is_recovery = context_.settings.profile == FaultProfile::Recovery;
  const Fault fault = is_recovery ? draw_recovery_fault() : draw_fault();
  (this->*fault)();
  inject_after(is_recovery ? context_.fault_random.between(100, 700)
                           : context_.fault_random.between(20, 250));
}

GatewayUnderTest& FaultInjector::draw_gateway() {
  return *gateways_[context_.fault_random.index(gateways_.size())];
}

FakeEndpoint& FaultInjector::draw_endpoint() {
  return *endpoints_.endpoints()[context_.fault_random.index(endpoints_.endpoints().size())];
}

void FaultInjector::log_fault(const std::string& kind, const std::string& detail) {
  ++context_.report.fault_counts[kind];
  context_.report.fault_log.push_back(std::to_string(now_ms() - started_at_) + " ms: " + kind +
                                      " " + detail);
}

void FaultInjector::log_fault(const std::string& kind, int target, Millis duration) {
  log_fault(kind, std::to_string(target) + " for " + std::to_string(duration) + " ms");
}

void FaultInjector::publish_endpoints() {
  for (const auto& gateway : gateways_)
    gateway->publish_endpoints();
}

void FaultInjector::pause_gateway() {
  GatewayUnderTest& gateway = draw_gateway();
  if (gateway.is_paused() || !gateway.is_serving())
    return;
  const bool is_long = context_.fault_random.between(0, 9) < 3;
  const Millis duration =
      is_long ? context_.fault_random.between(1500, 3500) : context_.fault_random.between(30, 800);
  log_fault("pause", gateway.index(), duration);
  gateway.pause_for(duration);
}

void FaultInjector::terminate_gateway() {
  GatewayUnderTest& gateway = draw_gateway();
  if (gateway.is_paused() || !gateway.is_serving())
    return;
  log_fault("terminate", std::to_string(gateway.index()));
  gateway.terminate();
  const bool is_recovery = context_.settings.profile == FaultProfile::Recovery;
  const Millis count = is_recovery ? 0 : context_.fault_random.between(0, kMaxFurtherSignals);
  for (Millis i = 0; i < count; ++i)
    send_further_signal(gateway);
}

void FaultInjector::send_further_signal(GatewayUnderTest& gateway) {
  static constexpr std::array<int, 3> kSignals{SIGTERM, SIGINT, SIGHUP};
  const Millis delay = context_.fault_random.between(0, kMaxSeriesDuration);
  const std::size_t drawn = context_.fault_random.index(kSignals.size() + 1);
  if (drawn < kSignals.size()) {
    log_fault("signal " + std::to_string(kSignals.at(drawn)) + " after SIGTERM", gateway.index(),
              delay);
    return gateway.send_signal_after(delay, kSignals.at(drawn));
  }
  const Millis duration = context_.fault_random.between(30, 800);
  log_fault("pause after SIGTERM", gateway.index(), duration);
  gateway.pause_after(delay, duration);
}

void FaultInjector::kill_gateway() {
  GatewayUnderTest& gateway = draw_gateway();
  if (!gateway.is_serving())
    return;
  log_fault("kill", std::to_string(gateway.index()));
  gateway.kill();
}

void FaultInjector::reload_gateway() {
  GatewayUnderTest& gateway = draw_gateway();
  if (!gateway.is_serving() || !gateway.agent().is_serving())
    return;
  log_fault("reload", std::to_string(gateway.index()));
  gateway.reload_with_moved_agent();
}

void FaultInjector::inject_agent_fault() {
  using State = FakeDiscoveryAgent::State;
  GatewayUnderTest& gateway = draw_gateway();
  FakeDiscoveryAgent& agent = gateway.agent();
  if (!agent.is_serving())
    return;
  if (context_.fault_random.between(0, 9) < 3) {
    log_fault("watch reset", std::to_string(gateway.index()));
    agent.reset_watch();
    return;
  }
  const State state = context_.fault_random.between(0, 9) < 6 ? State::Silent : State::Refusing;
  const Millis duration = context_.fault_random.between(300, 5000);
  log_fault(state == State::Silent ? "agent silent" : "agent refuses", gateway.index(), duration);
  agent.set_state(state);
  context_.tasks.run_after(duration, [&agent] {
    agent.set_state(State::Serving);
  });
}

// Drains an endpoint, then removes it. Later it starts again, and the list contains it some time
// after that. Some endpoints stay up, so that requests can still be served.
void FaultInjector::drain_endpoint() {
  FakeEndpoint& endpoint = draw_endpoint();
  const bool is_recovery = context_.settings.profile == FaultProfile::Recovery;
  const int min_up = is_recovery ? kMinUpEndpointsInRecovery : kMinUpEndpoints;
  if (endpoints_.up_count() <= min_up || endpoint.listed_status != ListedStatus::Up)
    return;
  log_fault("drain", std::to_string(endpoint.index()));
  endpoint.listed_status = ListedStatus::Draining;
  endpoints_.elect_primary();
  publish_endpoints();
  context_.tasks.run_after(context_.fault_random.between(800, 3000), [this, &endpoint] {
    endpoint.listed_status = ListedStatus::Removed;
    endpoint.close_connections();
    publish_endpoints();
  });
  const Millis started_after = context_.fault_random.between(3000, 4500);
  context_.tasks.run_after(started_after, [&endpoint] {
    endpoint.start_process();
  });
  const Millis listing_delay = context_.fault_random.between(0, kMaxListingDelay);
  context_.tasks.run_after(started_after + listing_delay, [this, &endpoint] {
    endpoint.listed_status = ListedStatus::Up;
    endpoint.list_start();
    publish_endpoints();
  });
}

// An endpoint crashes and starts again, while the list shows it as up. The list contains the start
// some time after it.
void FaultInjector::restart_endpoint() {
  FakeEndpoint& endpoint = draw_endpoint();
  if (endpoint.listed_status != ListedStatus::Up)
    return;
  const Millis downtime = context_.fault_random.between(300, 1500);
  log_fault("restart", endpoint.index(), downtime);
  endpoint.close_connections();
  endpoint.unresponsive_until = now_ms() + downtime;
  context_.tasks.run_after(downtime, [&endpoint] {
    endpoint.close_connections();
    endpoint.start_process();
  });
  const Millis listing_delay = context_.fault_random.between(0, kMaxListingDelay);
  context_.tasks.run_after(downtime + listing_delay, [this, &endpoint] {
    endpoint.list_start();
    publish_endpoints();
  });
}

void FaultInjector::stop_replication() {
  FakeEndpoint& endpoint = draw_endpoint();
  if (endpoint.is_primary)
    return;
  const Millis duration = context_.fault_random.between(300, 4000);
  log_fault("replication stops", endpoint.index(), duration);
  endpoint.stop_replication(now_ms(), duration);
}

void FaultInjector::begin_crowd() {
  const Millis duration = context_.fault_random.between(1000, 4000);
  log_fault("crowd", "for " + std::to_string(duration) + " ms");
  context_.crowd_until = now_ms() + duration;
}

void FaultInjector::make_endpoint_unresponsive() {
  FakeEndpoint& endpoint = draw_endpoint();
  const Millis duration = context_.fault_random.between(200, 2500);
  log_fault("hang", endpoint.index(), duration);
  endpoint.unresponsive_until = now_ms() + duration;
}

void FaultInjector::close_endpoint_connections() {
  FakeEndpoint& endpoint = draw_endpoint();
  log_fault("close connections", std::to_string(endpoint.index()));
  endpoint.close_connections();
}

void FaultInjector::slow_handshakes() {
  FakeEndpoint& endpoint = draw_endpoint();
  const Millis duration = context_.fault_random.between(300, 2500);
  log_fault("late handshakes", endpoint.index(), duration);
  endpoint.slow_handshakes_until = now_ms() + duration;
}

void FaultInjector::flood_connections() {
  GatewayUnderTest& gateway = draw_gateway();
  log_fault("connection flood", std::to_string(gateway.index()));
  gateway.open_idle_connections(kFloodConnections);
}

}  // namespace fault_soak
