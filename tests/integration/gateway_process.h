/// The built program as a child process of the test.
#pragma once

#include <csignal>
#include <glib.h>
#include <string>
#include <vector>

namespace test_harness {

/// Runs `serve` and collects what it logs. The destructor kills the child, and prints the child's
/// log if the test failed.
class GatewayProcess {
public:
  GatewayProcess() = default;
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  ~GatewayProcess();

  /// Starts the program and waits until it listens for `protocol_label`, `PostgreSQL` or `MongoDB`
  /// as the log names them. It may be started again once it has exited.
  void start(const std::string& config_path, const std::string& operator_file_path,
             const std::string& protocol_label);
  void send_signal(int number);
  /// Stops the program with SIGSTOP: from the return of this call until resume() it does not run,
  /// and the kernel buffers what arrives for it.
  void freeze();

  void resume() { send_signal(SIGCONT); }

  [[nodiscard]] bool was_started() const { return pid_ != 0; }

  [[nodiscard]] bool is_running() const { return !exited_; }

  [[nodiscard]] std::size_t thread_count() const;
  /// Waits for the program to exit and returns its exit status, -1 if a signal ended it.
  int await_exit_code();

  /// Reduces the pipe of the program's log to one page, so that a few lines fill it.
  void shrink_log_pipe() const;

  /// Appends to `log` what the program has logged since the last read.
  void read_log();
  /// Whether the log has `text` at or after the position `from`.
  bool has_logged(const std::string& text, std::size_t from = 0);
  /// Waits until the log has `text` at or after the position `from`.
  void await_log(const std::string& text, std::size_t from = 0);
  /// The address of the last listener for `protocol_label` in the log.
  [[nodiscard]] std::string last_listener_address(const std::string& protocol_label) const;

  std::string log;  ///< What was read of the log since the last start.

private:
  GPid pid_ = 0;
  int log_descriptor_ = -1;
  int wait_status_ = 0;
  bool exited_ = false;
};

/// Runs the program until it exits and returns its exit status, -1 if a signal ended it. `output`
/// receives its standard error, followed by its standard output.
int run_program(const std::vector<std::string>& arguments, std::string& output);

}  // namespace test_harness
