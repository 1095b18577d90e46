#include "gateway_process.h"

#include "event_wait.h"
#include "serve_process.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <exception>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/wait.h>
#include <unistd.h>

namespace test_harness {
namespace {

int exit_status(int wait_status) {
  return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : -1;
}

}  // namespace

GatewayProcess::~GatewayProcess() {
  if (pid_ == 0)
    return;
  read_log();
  if (!exited_) {
    kill(pid_, SIGKILL);
    wait_until_in_destructor(
        [this] {
          return exited_;
        },
        "the killed program to exit");
  }
  close(log_descriptor_);
  if (std::uncaught_exceptions() > 0 || testing::Test::HasFailure())
    std::fprintf(stderr, "the program's log:\n%s", log.c_str());
}

void GatewayProcess::start(const std::string& config_path, const std::string& operator_file_path,
                           const std::string& protocol_label) {
  require(pid_ == 0 || exited_,
          "start() was called while the program runs as process " + std::to_string(pid_));
  if (log_descriptor_ >= 0)
    close(log_descriptor_);
  log.clear();
  exited_ = false;
  const auto process = start_serve(GORSEBEAM_PROGRAM, config_path, operator_file_path);
  require(process.has_value(), std::string("cannot start ") + GORSEBEAM_PROGRAM);
  pid_ = process->pid;
  log_descriptor_ = process->log_descriptor;
  g_child_watch_add(
      pid_,
      [](GPid, gint status, gpointer self) {
        static_cast<GatewayProcess*>(self)->wait_status_ = status;
        static_cast<GatewayProcess*>(self)->exited_ = true;
      },
      this);
  wait_until(
      [&] {
        return has_logged(listener_prefix(protocol_label)) || exited_;
      },
      "the program to listen for " + protocol_label);
  require(!exited_, "the program exited with status " + std::to_string(exit_status(wait_status_)) +
                        " before it listened for " + protocol_label);
}

void GatewayProcess::send_signal(int number) {
  read_log();
  if (!exited_)
    kill(pid_, number);
}

void GatewayProcess::freeze() {
  send_signal(SIGSTOP);
  wait_until(
      [this] {
        std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
        const std::string text{std::istreambuf_iterator<char>(stat), {}};
        // The state of the process follows its name, which ends with a parenthesis; T is stopped.
        const std::size_t name_end = text.rfind(") ");
        return name_end != std::string::npos && text.compare(name_end + 2, 1, "T") == 0;
      },
      "SIGSTOP to stop the program");
}

std::size_t GatewayProcess::thread_count() const {
  const std::filesystem::directory_iterator tasks("/proc/" + std::to_string(pid_) + "/task");
  return static_cast<std::size_t>(std::distance(begin(tasks), end(tasks)));
}

int GatewayProcess::await_exit_code() {
  wait_until(
      [this] {
        read_log();
        return exited_;
      },
      "the program to exit");
  return exit_status(wait_status_);
}

void GatewayProcess::shrink_log_pipe() const {
  constexpr int kPageBytes = 4096;
  require(fcntl(log_descriptor_, F_SETPIPE_SZ, kPageBytes) == kPageBytes,
          "cannot set the size of the log's pipe to " + std::to_string(kPageBytes) + " bytes");
}

void GatewayProcess::read_log() {
  append_available(log_descriptor_, log);
}

bool GatewayProcess::has_logged(const std::string& text, std::size_t from) {
  read_log();
  return log.find(text, from) != std::string::npos;
}

void GatewayProcess::await_log(const std::string& text, std::size_t from) {
  wait_until(
      [&] {
        return has_logged(text, from);
      },
      "the log line: " + text);
}

std::string GatewayProcess::last_listener_address(const std::string& protocol_label) const {
  const std::string prefix = listener_prefix(protocol_label);
  const std::size_t found = log.rfind(prefix);
  require(found != std::string::npos, "the log names no listener for " + protocol_label);
  const std::size_t begin = found + prefix.size();
  return log.substr(begin, log.find(' ', begin) - begin);
}

int run_program(const std::vector<std::string>& arguments, std::string& output) {
  std::vector<const char*> argument_list{GORSEBEAM_PROGRAM};
  for (const std::string& argument : arguments)
    argument_list.push_back(argument.c_str());
  argument_list.push_back(nullptr);
  gchar* standard_output = nullptr;
  gchar* standard_error = nullptr;
  gint status = 0;
  const gboolean ran =
      g_spawn_sync(nullptr, const_cast<gchar**>(argument_list.data()), nullptr, G_SPAWN_DEFAULT,
                   nullptr, nullptr, &standard_output, &standard_error, &status, nullptr);
  require(ran != FALSE, std::string("cannot run ") + GORSEBEAM_PROGRAM);
  output = std::string(standard_error) + standard_output;
  g_free(standard_output);
  g_free(standard_error);
  return exit_status(status);
}

}  // namespace test_harness
