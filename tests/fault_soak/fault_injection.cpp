// The faults that the environment injects, each into a gateway or an endpoint that is drawn.
#include "fake_peers.h"

#include <algorithm>
#include <csignal>

namespace fault_soak {
namespace {

constexpr Millis kFirstFault = 500;

}  // namespace

FaultSoakEnvironment::Gateway& FaultSoakEnvironment::any_gateway() {
  return *gateways_[static_cast<std::size_t>(draw_fault(0, settings_.gateways - 1))];
}

void FaultSoakEnvironment::start_faults() {
  after(kFirstFault, [this] {
    inject_fault();
  });
}

void FaultSoakEnvironment::inject_fault() {
  if (now_ms() - started_at_ > settings_.duration)
    return;
  switch (draw_fault(0, 11)) {
  case 0:
  case 1:
  case 2:
    pause_gateway();
    break;
  case 3:
    terminate_gateway();
    break;
  case 4:
    kill_gateway();
    break;
  case 5:
    reload_gateway();
    break;
  case 6:
    disturb_agent();
    break;
  case 7:
    drain_endpoint();
    break;
  case 8:
    hang_endpoint();
    break;
  case 9:
    reset_endpoint();
    break;
  case 10:
    delay_handshakes();
    break;
  default:
    flood_connections();
    break;
  }
  after(draw_fault(20, 250), [this] {
    inject_fault();
  });
}

void FaultSoakEnvironment::pause_gateway() {
  Gateway& gateway = any_gateway();
  if (gateway.is_stopped || gateway.is_ending || !gateway.process->is_ready())
    return;
  const Millis length = draw_fault(0, 9) < 3 ? draw_fault(1500, 3500) : draw_fault(30, 800);
  log_fault("pause", std::to_string(gateway.index) + " for " + std::to_string(length));
  gateway.is_stopped = true;
  gateway.process->send_signal(SIGSTOP);
  oracle_.gateway_paused(gateway.index, now_ms());
  after(length, [this, &gateway] {
    gateway.is_stopped = false;
    oracle_.gateway_resumed(gateway.index, now_ms());
    gateway.process->send_signal(SIGCONT);
  });
}

void FaultSoakEnvironment::terminate_gateway() {
  Gateway& gateway = any_gateway();
  if (gateway.is_stopped || gateway.is_ending || !gateway.process->is_ready())
    return;
  log_fault("terminate", std::to_string(gateway.index));
  gateway.is_ending = true;
  oracle_.gateway_terminated(gateway.index, now_ms());
  gateway.process->send_signal(SIGTERM);
}

void FaultSoakEnvironment::kill_gateway() {
  Gateway& gateway = any_gateway();
  if (gateway.is_ending || !gateway.process->is_ready())
    return;
  log_fault("kill", std::to_string(gateway.index));
  gateway.is_ending = true;
  oracle_.gateway_killed(gateway.index);
  gateway.process->send_signal(SIGKILL);
}

void FaultSoakEnvironment::reload_gateway() {
  Gateway& gateway = any_gateway();
  if (gateway.is_ending || !gateway.process->is_ready() || !gateway.agent->is_serving())
    return;
  log_fault("reload", std::to_string(gateway.index));
  gateway.agent->move();
  gateway.process->write_config(gateway.agent->address());
  gateway.process->send_signal(SIGHUP);
}

void FaultSoakEnvironment::disturb_agent() {
  Gateway& gateway = any_gateway();
  if (!gateway.agent->is_serving())
    return;
  if (draw_fault(0, 9) < 3) {
    log_fault("watch reset", std::to_string(gateway.index));
    gateway.agent->reset_watch();
    return;
  }
  const bool is_silent = draw_fault(0, 9) < 6;
  const Millis length = draw_fault(300, 5000);
  log_fault(is_silent ? "agent silent" : "agent refuses",
            std::to_string(gateway.index) + " for " + std::to_string(length));
  gateway.agent->set_state(is_silent ? FakeDiscoveryAgent::State::Silent
                                     : FakeDiscoveryAgent::State::Refusing);
  after(length, [&gateway] {
    gateway.agent->set_state(FakeDiscoveryAgent::State::Serving);
  });
}

// At least three endpoints stay, so that there is always one to go to.
void FaultSoakEnvironment::drain_endpoint() {
  const auto ready = std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& endpoint) {
    return endpoint->phase == "ready";
  });
  FakeEndpoint& endpoint =
      *endpoints_[static_cast<std::size_t>(draw_fault(0, settings_.endpoints - 1))];
  if (ready <= 3 || endpoint.phase != "ready")
    return;
  log_fault("drain", std::to_string(endpoint.index));
  endpoint.phase = "draining";
  elect_primary();
  publish();
  after(draw_fault(800, 3000), [this, &endpoint] {
    endpoint.phase = "gone";
    endpoint.close_connections();
    publish();
  });
  after(draw_fault(3500, 6000), [this, &endpoint] {
    endpoint.phase = "ready";
    endpoint.started_at_ms = g_get_real_time() / 1000;
    publish();
  });
}

void FaultSoakEnvironment::hang_endpoint() {
  FakeEndpoint& endpoint =
      *endpoints_[static_cast<std::size_t>(draw_fault(0, settings_.endpoints - 1))];
  const Millis length = draw_fault(200, 2500);
  log_fault("hang", std::to_string(endpoint.index) + " for " + std::to_string(length));
  endpoint.hangs_until = now_ms() + length;
}

void FaultSoakEnvironment::reset_endpoint() {
  FakeEndpoint& endpoint =
      *endpoints_[static_cast<std::size_t>(draw_fault(0, settings_.endpoints - 1))];
  log_fault("close connections", std::to_string(endpoint.index));
  endpoint.close_connections();
}

void FaultSoakEnvironment::delay_handshakes() {
  FakeEndpoint& endpoint =
      *endpoints_[static_cast<std::size_t>(draw_fault(0, settings_.endpoints - 1))];
  const Millis length = draw_fault(300, 2500);
  log_fault("late handshakes", std::to_string(endpoint.index) + " for " + std::to_string(length));
  endpoint.delays_handshakes_until = now_ms() + length;
}

void FaultSoakEnvironment::flood_connections() {
  Gateway& gateway = any_gateway();
  log_fault("connection flood", std::to_string(gateway.index));
  for (int i = 0; i < 60; ++i) {
    flood_clients_.push_back(std::make_unique<FakeClient>(*this, gateway));
    flood_clients_.back()->is_idle = true;
    flood_clients_.back()->connect();
  }
}

}  // namespace fault_soak
