// The faults that a world plays, each on a gateway or an endpoint that is drawn.
#include "stand_ins.h"

#include <algorithm>
#include <csignal>

namespace fault_soak {
namespace {

constexpr Millis kFirstFault = 500;

}  // namespace

World::Gateway& World::any_gateway() {
  return *gateways_[static_cast<std::size_t>(draw_fault(0, settings_.gateways - 1))];
}

void World::start_faults() {
  after(kFirstFault, [this] {
    play_fault();
  });
}

void World::play_fault() {
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
    slow_greetings();
    break;
  default:
    crowd_clients();
    break;
  }
  after(draw_fault(20, 250), [this] {
    play_fault();
  });
}

void World::pause_gateway() {
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

void World::terminate_gateway() {
  Gateway& gateway = any_gateway();
  if (gateway.is_stopped || gateway.is_ending || !gateway.process->is_ready())
    return;
  log_fault("terminate", std::to_string(gateway.index));
  gateway.is_ending = true;
  oracle_.gateway_terminated(gateway.index, now_ms());
  gateway.process->send_signal(SIGTERM);
}

void World::kill_gateway() {
  Gateway& gateway = any_gateway();
  if (gateway.is_ending || !gateway.process->is_ready())
    return;
  log_fault("kill", std::to_string(gateway.index));
  gateway.is_ending = true;
  oracle_.gateway_killed(gateway.index);
  gateway.process->send_signal(SIGKILL);
}

void World::reload_gateway() {
  Gateway& gateway = any_gateway();
  if (gateway.is_ending || !gateway.process->is_ready() || !gateway.agent->is_serving())
    return;
  log_fault("reload", std::to_string(gateway.index));
  gateway.agent->move();
  gateway.process->write_config(gateway.agent->address());
  gateway.process->send_signal(SIGHUP);
}

void World::disturb_agent() {
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
  gateway.agent->set_state(is_silent ? Agent::State::Silent : Agent::State::Refusing);
  after(length, [&gateway] {
    gateway.agent->set_state(Agent::State::Serving);
  });
}

// At least three endpoints stay, so that there is always one to go to.
void World::drain_endpoint() {
  const auto ready = std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& endpoint) {
    return endpoint->phase == "ready";
  });
  Endpoint& endpoint =
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

void World::hang_endpoint() {
  Endpoint& endpoint =
      *endpoints_[static_cast<std::size_t>(draw_fault(0, settings_.endpoints - 1))];
  const Millis length = draw_fault(200, 2500);
  log_fault("hang", std::to_string(endpoint.index) + " for " + std::to_string(length));
  endpoint.hangs_until = now_ms() + length;
}

void World::reset_endpoint() {
  Endpoint& endpoint =
      *endpoints_[static_cast<std::size_t>(draw_fault(0, settings_.endpoints - 1))];
  log_fault("close connections", std::to_string(endpoint.index));
  endpoint.close_connections();
}

void World::slow_greetings() {
  Endpoint& endpoint =
      *endpoints_[static_cast<std::size_t>(draw_fault(0, settings_.endpoints - 1))];
  const Millis length = draw_fault(300, 2500);
  log_fault("late greetings", std::to_string(endpoint.index) + " for " + std::to_string(length));
  endpoint.greets_late_until = now_ms() + length;
}

void World::crowd_clients() {
  Gateway& gateway = any_gateway();
  log_fault("crowd", std::to_string(gateway.index));
  for (int i = 0; i < 60; ++i) {
    crowd_.push_back(std::make_unique<Client>(*this, gateway));
    crowd_.back()->is_resting = true;
    crowd_.back()->connect();
  }
}

}  // namespace fault_soak
