/// Starts and restarts the process of one gateway. No function waits for the process.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include <glib.h>

namespace fault_soak {

struct ProcessSettings {
  std::string program;
  std::string shim;  ///< Path of a library to preload into the process; empty: none.
  std::string folder;
  int index = 0;
  int gateways = 1;  ///< In the run.
  unsigned shim_seed = 0;
};

/// The successive processes of one gateway; at most one runs at a time.
class GatewayProcess {
public:
  /// `on_ready` runs when a process listens. `on_exit` runs when a process has exited and gets its
  /// wait status.
  GatewayProcess(ProcessSettings settings, std::function<void()> on_ready,
                 std::function<void(int)> on_exit);
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  ~GatewayProcess();

  /// Writes the configuration and starts a process.
  void start(const std::string& agent_address);
  /// Writes the configuration; a running process reads it when it gets SIGHUP.
  void write_config(const std::string& agent_address) const;
  void send_signal(int number) const;

  [[nodiscard]] bool is_running() const { return pid_ != 0; }

  /// The number of processes that were started. Identifies the last one.
  [[nodiscard]] int starts() const { return starts_; }

  [[nodiscard]] bool is_ready() const { return is_running() && is_ready_; }

  /// The address that clients connect to. The first process chooses it, and later ones reuse it.
  [[nodiscard]] const std::string& address() const { return address_; }

  /// The log of all processes so far.
  [[nodiscard]] const std::string& log() const { return log_; }

private:
  static gboolean on_log_readable(gint descriptor, GIOCondition condition, gpointer user_data);
  void read_log();
  void find_listener_address();
  void close_log();
  void handle_exit(int wait_status);

  [[nodiscard]] std::string config_path() const { return settings_.folder + "/config.json"; }

  const ProcessSettings settings_;
  std::function<void()> on_ready_;
  std::function<void(int)> on_exit_;
  std::string address_;
  std::string log_;
  std::size_t process_log_begin_ = 0;  ///< Where in `log_` the current process's log begins.
  GPid pid_ = 0;
  int starts_ = 0;
  int log_descriptor_ = -1;
  guint log_source_ = 0;
  bool is_ready_ = false;
};

}  // namespace fault_soak
