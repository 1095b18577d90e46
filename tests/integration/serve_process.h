/// Starts the program's `serve` command as a child process whose log arrives through a pipe.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <glib.h>

namespace test_harness {

/// A child process. The caller adds a child watch, which reaps it, and closes the descriptor.
struct ServeProcess {
  GPid pid = 0;
  int log_descriptor = -1;  ///< Standard error of the child; reads do not block.
};

using EnvironmentVariables = std::vector<std::pair<std::string, std::string>>;

/// Runs `program serve` with the two files, in the environment of this process with the variables
/// of `environment` added. Returns none if the program cannot be started.
[[nodiscard]] std::optional<ServeProcess> start_serve(const std::string& program,
                                                      const std::string& config_path,
                                                      const std::string& operator_file_path,
                                                      const EnvironmentVariables& environment = {});

/// Appends to `text` what can be read from `descriptor` without blocking.
void append_available(int descriptor, std::string& text);

/// The text before a listener's address in the log; `protocol_label` is `PostgreSQL` or `MongoDB`.
[[nodiscard]] std::string listener_prefix(const std::string& protocol_label);

}  // namespace test_harness
