/// One gateway process that is started and restarted without waiting.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include <glib.h>

namespace fault_soak {

struct ProcessSettings {
  std::string program;
  std::string shim;  ///< A library that is preloaded into the process; empty: none.
  std::string folder;
  int index = 0;
  unsigned shim_seed = 0;
};

class GatewayProcess {
public:
  /// `on_ready` runs when a process listens, `on_exit` when it has exited, with the wait status.
  GatewayProcess(ProcessSettings settings, std::function<void()> on_ready,
                 std::function<void(int)> on_exit);
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  ~GatewayProcess();

  /// Writes the configuration and starts the program.
  void start(const std::string& agent_address);
  void write_config(const std::string& agent_address) const;
  void send_signal(int number) const;

  [[nodiscard]] bool is_running() const { return pid_ != 0; }

  [[nodiscard]] bool is_ready() const { return is_running() && is_ready_; }

  /// Where clients connect; the same for all processes once one has listened.
  [[nodiscard]] const std::string& address() const { return address_; }

  /// What all processes have logged.
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
  std::size_t process_log_begin_ = 0;  ///< Where the log of the current process begins.
  GPid pid_ = 0;
  int log_descriptor_ = -1;
  guint log_source_ = 0;
  bool is_ready_ = false;
};

}  // namespace fault_soak
