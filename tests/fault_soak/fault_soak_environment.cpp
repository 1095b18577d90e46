#include "fault_soak_environment.h"

#include "net/timer.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <utility>

#include <glib.h>

namespace fault_soak {

using gorsebeam::net::Timer;

namespace {

// The time in which the requests that are in flight at the last fault get their responses.
constexpr Millis kWaitAfterLastFault = 4000;

std::string make_temporary_folder() {
  std::string name = "/tmp/gorsebeam-fault-soak-XXXXXX";
  if (mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("the temporary folder " + name + " cannot be created");
  return name;
}

}  // namespace

FaultSoakEnvironment::FaultSoakEnvironment(const SoakSettings& settings)
    : context_(settings), folder_(make_temporary_folder()), endpoints_(context_),
      fault_injector_(context_, gateways_, endpoints_) {
  for (int i = 0; i < settings.gateways; ++i)
    gateways_.push_back(std::make_unique<GatewayUnderTest>(context_, endpoints_, i, folder_));
}

FaultSoakEnvironment::~FaultSoakEnvironment() {
  std::filesystem::remove_all(folder_);
}

const std::string& FaultSoakEnvironment::log_of(int gateway) const {
  return gateways_[static_cast<std::size_t>(gateway)]->log();
}

// Runs the event loop until the condition holds. Between two checks it waits for an event for at
// most 20 ms, then handles further events for at most 5 ms.
void FaultSoakEnvironment::run_loop_until(const std::function<bool()>& condition) {
  Timer wake([] {});
  while (!condition()) {
    wake.after(std::chrono::milliseconds(20));
    g_main_context_iteration(nullptr, TRUE);
    const Millis batch_started_at = now_ms();
    while (g_main_context_iteration(nullptr, FALSE) != FALSE && now_ms() - batch_started_at < 5) {
    }
  }
}

SoakReport FaultSoakEnvironment::run() {
  start_gateways();
  run_faults();
  end_processes();
  complete_report();
  return context_.report;
}

void FaultSoakEnvironment::start_gateways() {
  fault_injector_.publish_endpoints();
  for (const auto& gateway : gateways_)
    gateway->start();
  run_loop_until([this] {
    return std::all_of(gateways_.begin(), gateways_.end(), [](const auto& gateway) {
      return gateway->is_serving();
    });
  });
}

void FaultSoakEnvironment::run_faults() {
  started_at_ = now_ms();
  fault_injector_.start();
  Millis last_iteration_at = now_ms();
  run_loop_until([this, &last_iteration_at] {
    const Millis now = now_ms();
    loop_delays_.record_iteration(std::exchange(last_iteration_at, now), now);
    context_.oracle.check_overdue(now);
    return now - started_at_ > context_.settings.duration + kWaitAfterLastFault;
  });
}

void FaultSoakEnvironment::end_processes() {
  context_.is_run_over = true;
  for (const auto& gateway : gateways_)
    gateway->finish();
  run_loop_until([this] {
    return std::none_of(gateways_.begin(), gateways_.end(), [](const auto& gateway) {
      return gateway->is_running();
    });
  });
}

void FaultSoakEnvironment::complete_report() {
  SoakReport& report = context_.report;
  for (const Violation& violation : context_.oracle.violations())
    report.violations.push_back(violation);
  for (const auto& gateway : gateways_) {
    if (gateway->log().find("invariant_violated") != std::string::npos)
      report.violations.push_back(
          {"invariant",
           "gateway " + std::to_string(gateway->index()) + " logged a violated invariant",
           now_ms()});
  }
  report.violations = loop_delays_.unexplained(report.violations);
  report.verdict = loop_delays_.judge(report.violations);
  report.longest_iteration = loop_delays_.longest_iteration();
  for (Violation& violation : report.violations)
    violation.at -= started_at_;
  report.requests = context_.oracle.request_count();
  report.attempts = context_.oracle.attempt_count();
  report.slow_start_utilization = context_.oracle.highest_slow_start_utilization();
}

}  // namespace fault_soak
