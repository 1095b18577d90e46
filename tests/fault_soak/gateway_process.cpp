#include "gateway_process.h"

#include "endpoint_capacity.h"
#include "service_classes.h"

#include "integration/platform_config.h"
#include "integration/serve_process.h"

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <glib-unix.h>
#include <unistd.h>

namespace fault_soak {

using test_harness::PlatformClass;
using test_harness::PlatformConfig;

namespace {

constexpr std::size_t kMaxSockets = 200;
constexpr int kKeepaliveMs = 3000;

PlatformClass make_class(ServiceClass service_class, const char* effect, const char* read_level,
                         int latency_objective_ms, Millis deadline_ms) {
  PlatformClass platform_class{class_name(service_class), effect, read_level, latency_objective_ms,
                               static_cast<int>(deadline_ms)};
  platform_class.deduplication_window_ms = static_cast<int>(kDeduplicationWindow);
  platform_class.late_weight_fraction = "0.5";
  return platform_class;
}

}  // namespace

GatewayProcess::GatewayProcess(ProcessSettings settings, std::function<void()> on_ready,
                               std::function<void(int)> on_exit)
    : settings_(std::move(settings)), on_ready_(std::move(on_ready)), on_exit_(std::move(on_exit)) {
}

GatewayProcess::~GatewayProcess() {
  if (pid_ != 0)
    kill(pid_, SIGKILL);
  close_log();
}

void GatewayProcess::close_log() {
  if (log_source_ != 0)
    g_source_remove(std::exchange(log_source_, 0));
  if (log_descriptor_ >= 0)
    close(std::exchange(log_descriptor_, -1));
}

void GatewayProcess::write_config(const std::string& agent_address) const {
  const std::string index = std::to_string(settings_.index);
  PlatformConfig config;
  config.name = "n" + index;
  config.seed = "8c1f" + index;
  config.listen_address = address_.empty() ? "127.0.0.1:0" : address_;
  config.discovery_address = agent_address;
  config.max_sockets = kMaxSockets;
  config.gateways = settings_.gateways;
  config.slow_start_ms = static_cast<int>(kSlowStartDuration);
  config.initial_capacity = std::to_string(kInitialCapacity);
  config.overload_window_ms = static_cast<int>(kOverloadWindow);
  config.overload_factor = std::to_string(kOverloadFactor);
  config.keepalive_ms = kKeepaliveMs;
  PlatformClass bounded_read =
      make_class(ServiceClass::BoundedRead, "free", "lag_bound", 500, kReadDeadline);
  bounded_read.max_staleness_ms = static_cast<int>(kMaxStaleness);
  config.classes = {
      make_class(ServiceClass::Idempotent, "free", "causal", 500, kReadDeadline), bounded_read,
      make_class(ServiceClass::Keyed, "guarded", "mutate", 750, kWriteDeadline),
      make_class(ServiceClass::SingleShot, "single_shot", "mutate", 750, kWriteDeadline)};
  std::ofstream(config_path()) << test_harness::encode_platform_config(config);
}

void GatewayProcess::start(const std::string& agent_address) {
  write_config(agent_address);
  const std::string operator_file_path = settings_.folder + "/gateway.textproto";
  std::ofstream(operator_file_path) << "";
  if (log_descriptor_ >= 0)
    read_log();
  close_log();
  test_harness::EnvironmentVariables environment;
  if (!settings_.shim.empty())
    environment = {{"LD_PRELOAD", settings_.shim},
                   {"FAULT_SHIM_SEED", std::to_string(settings_.shim_seed)}};
  const auto process =
      test_harness::start_serve(settings_.program, config_path(), operator_file_path, environment);
  if (!process)
    throw std::runtime_error("gateway " + std::to_string(settings_.index) +
                             " cannot start the program " + settings_.program);
  pid_ = process->pid;
  ++starts_;
  log_descriptor_ = process->log_descriptor;
  is_ready_ = false;
  process_log_begin_ = log_.size();
  log_source_ = g_unix_fd_add(log_descriptor_, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP),
                              &GatewayProcess::on_log_readable, this);
  g_child_watch_add(
      pid_,
      [](GPid, gint wait_status, gpointer self) {
        static_cast<GatewayProcess*>(self)->handle_exit(wait_status);
      },
      this);
}

void GatewayProcess::handle_exit(int wait_status) {
  read_log();
  pid_ = 0;
  is_ready_ = false;
  on_exit_(wait_status);
}

void GatewayProcess::send_signal(int number) const {
  if (pid_ != 0)
    kill(pid_, number);
}

gboolean GatewayProcess::on_log_readable(gint, GIOCondition condition, gpointer user_data) {
  auto* self = static_cast<GatewayProcess*>(user_data);
  self->read_log();
  if ((condition & G_IO_IN) != 0)
    return G_SOURCE_CONTINUE;
  self->log_source_ = 0;
  return G_SOURCE_REMOVE;
}

void GatewayProcess::read_log() {
  test_harness::append_available(log_descriptor_, log_);
  if (!is_ready_)
    find_listener_address();
}

void GatewayProcess::find_listener_address() {
  const std::string prefix = test_harness::listener_prefix("PostgreSQL");
  const std::size_t found = log_.find(prefix, process_log_begin_);
  if (found == std::string::npos)
    return;
  const std::size_t begin = found + prefix.size();
  const std::size_t end = log_.find_first_of(" \n", begin);
  if (end == std::string::npos)
    return;
  address_ = log_.substr(begin, end - begin);
  is_ready_ = true;
  on_ready_();
}

}  // namespace fault_soak
