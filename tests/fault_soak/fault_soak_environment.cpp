#include "fault_soak_environment.h"

#include "fake_peers.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <stdexcept>
#include <utility>

#include <sys/wait.h>

namespace fault_soak {

using gorsebeam::net::Timer;

namespace {

constexpr Millis kDeduplicationWindow = 1000;
constexpr Millis kEndOfAnswers = 4000;  // beyond each deadline, after the faults

}  // namespace

FaultSoakEnvironment::FaultSoakEnvironment(const SoakSettings& settings)
    : settings_(settings), random_(settings.seed), fault_random_(~settings.seed),
      oracle_(kDeduplicationWindow) {
  std::string name = "/tmp/gorsebeam-fault-soak-XXXXXX";
  if (mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("a temporary folder cannot be made");
  folder_ = name;
  for (int i = 0; i < settings_.endpoints; ++i)
    endpoints_.push_back(std::make_unique<FakeEndpoint>(*this, i));
  endpoints_.front()->is_primary = true;
  for (int i = 0; i < settings_.gateways; ++i) {
    gateways_.push_back(std::make_unique<Gateway>());
    Gateway& gateway = *gateways_.back();
    gateway.index = i;
    gateway.notified_phases.assign(static_cast<std::size_t>(settings_.endpoints), "ready");
    gateway.agent = std::make_unique<FakeDiscoveryAgent>([this, &gateway] {
      notified(gateway);
    });
    ProcessSettings process;
    process.program = settings_.program;
    process.shim = settings_.shim;
    process.folder = folder_ + "/" + std::to_string(i);
    process.index = i;
    process.shim_seed = static_cast<unsigned>(random_());
    std::filesystem::create_directory(process.folder);
    gateway.process = std::make_unique<GatewayProcess>(
        process,
        [this, &gateway] {
          gateway_ready(gateway);
        },
        [this, &gateway](int status) {
          gateway_exited(gateway, status);
        });
    for (int c = 0; c < settings_.clients_per_gateway; ++c)
      gateway.clients.push_back(std::make_unique<FakeClient>(*this, gateway));
  }
}

FaultSoakEnvironment::~FaultSoakEnvironment() {
  std::filesystem::remove_all(folder_);
}

const std::string& FaultSoakEnvironment::log_of(int gateway) const {
  return gateways_[static_cast<std::size_t>(gateway)]->process->log();
}

Millis FaultSoakEnvironment::draw(Millis low, Millis high) {
  return std::uniform_int_distribution<Millis>(low, high)(random_);
}

bool FaultSoakEnvironment::draw_bool(double probability) {
  return std::bernoulli_distribution(probability)(random_);
}

Millis FaultSoakEnvironment::draw_fault(Millis low, Millis high) {
  return std::uniform_int_distribution<Millis>(low, high)(fault_random_);
}

void FaultSoakEnvironment::after(Millis delay, std::function<void()> action) {
  timers_.push_back(nullptr);
  const auto place = std::prev(timers_.end());
  *place = std::make_unique<Timer>([this, place, action = std::move(action)] {
    const std::unique_ptr<Timer> ended = std::move(*place);
    timers_.erase(place);
    action();
  });
  (*place)->after(std::chrono::milliseconds(delay));
}

void FaultSoakEnvironment::log_fault(const std::string& name, const std::string& detail) {
  ++report_.faults[name];
  report_.fault_log.push_back(std::to_string(now_ms() - started_at_) + " " + name + " " + detail);
}

void FaultSoakEnvironment::start_gateway(Gateway& gateway) {
  if (is_over_)
    return;
  gateway.is_ending = false;
  oracle_.gateway_started(gateway.index, now_ms());
  gateway.notified_phases.assign(gateway.notified_phases.size(), "ready");
  // What the agent has counts from the first moment of a process.
  if (gateway.agent->is_serving())
    notified(gateway);
  gateway.process->start(gateway.agent->address());
}

void FaultSoakEnvironment::gateway_ready(Gateway& gateway) {
  for (const auto& client : gateway.clients) {
    client->connect();
    after(draw(5, 200), [&client = *client] {
      client.send_next();
    });
  }
}

void FaultSoakEnvironment::gateway_exited(Gateway& gateway, int status) {
  const bool is_killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  const bool is_clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  if (!gateway.is_ending || (!is_killed && !is_clean))
    report_.violations.push_back({"crash",
                                  "gateway " + std::to_string(gateway.index) +
                                      " ended with wait status " + std::to_string(status),
                                  now_ms()});
  oracle_.gateway_killed(gateway.index);
  if (is_over_)
    return;
  after(draw(20, 400), [this, &gateway] {
    start_gateway(gateway);
  });
}

// The oracle is notified only of changes.
void FaultSoakEnvironment::notified(const Gateway& gateway) {
  auto& phases = gateways_[static_cast<std::size_t>(gateway.index)]->notified_phases;
  for (const auto& endpoint : endpoints_) {
    std::string& phase = phases[static_cast<std::size_t>(endpoint->index)];
    if (phase == endpoint->phase)
      continue;
    phase = endpoint->phase;
    oracle_.endpoint_notified(gateway.index, endpoint->index, phase != "ready", now_ms());
  }
}

void FaultSoakEnvironment::publish() {
  for (const auto& gateway : gateways_) {
    std::vector<ListedEndpoint> list;
    for (const auto& endpoint : endpoints_) {
      ListedEndpoint listed;
      listed.address = endpoint->listeners[static_cast<std::size_t>(gateway->index)]->address();
      listed.phase = endpoint->phase;
      listed.listed_as_primary = endpoint->index == 0;
      listed.started_at_ms = endpoint->started_at_ms;
      list.push_back(listed);
    }
    gateway->agent->publish(list);
  }
}

void FaultSoakEnvironment::elect_primary() {
  for (const auto& endpoint : endpoints_) {
    if (endpoint->phase != "ready")
      continue;
    for (const auto& other : endpoints_)
      other->is_primary = false;
    endpoint->is_primary = true;
    return;
  }
}

void FaultSoakEnvironment::end_closed_attempts(const std::string& request_id) {
  for (const auto& endpoint : endpoints_) {
    endpoint->forget_closed();
    for (const auto& connection : endpoint->connections) {
      if (connection->request_id == request_id && connection->stream->has_peer_closed())
        connection->end_attempt(Effect::MayHaveRun);
    }
  }
}

void FaultSoakEnvironment::run_loop_until(const std::function<bool()>& condition) {
  Timer wake([] {});
  while (!condition()) {
    wake.after(std::chrono::milliseconds(20));
    g_main_context_iteration(nullptr, TRUE);
    const Millis begun = now_ms();
    while (g_main_context_iteration(nullptr, FALSE) != FALSE && now_ms() - begun < 5) {
    }
  }
}

SoakReport FaultSoakEnvironment::run() {
  publish();
  started_at_ = now_ms();
  for (const auto& gateway : gateways_)
    start_gateway(*gateway);
  run_loop_until([this] {
    return std::all_of(gateways_.begin(), gateways_.end(), [](const auto& gateway) {
      return gateway->process->is_ready();
    });
  });
  started_at_ = now_ms();
  start_faults();
  Millis last_iteration_at = now_ms();
  run_loop_until([this, &last_iteration_at] {
    const Millis now = now_ms();
    report_.longest_iteration = std::max(report_.longest_iteration, now - last_iteration_at);
    last_iteration_at = now;
    oracle_.check_overdue(now);
    return now - started_at_ > settings_.duration + kEndOfAnswers;
  });
  finish();
  return report_;
}

void FaultSoakEnvironment::finish() {
  is_over_ = true;
  for (const auto& gateway : gateways_) {
    gateway->is_ending = true;
    gateway->process->send_signal(SIGCONT);
    gateway->process->send_signal(SIGTERM);
  }
  run_loop_until([this] {
    return std::none_of(gateways_.begin(), gateways_.end(), [](const auto& gateway) {
      return gateway->process->is_running();
    });
  });
  for (const Violation& violation : oracle_.violations())
    report_.violations.push_back(violation);
  for (const auto& gateway : gateways_) {
    if (gateway->process->log().find("invariant_violated") != std::string::npos)
      report_.violations.push_back(
          {"invariant",
           "gateway " + std::to_string(gateway->index) + " logged a violated invariant", now_ms()});
  }
  for (Violation& violation : report_.violations)
    violation.at -= started_at_;
  report_.requests = oracle_.request_count();
  report_.attempts = oracle_.attempt_count();
}

}  // namespace fault_soak
