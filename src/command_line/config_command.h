/// `gorsebeam config ...`: checks, formats and compares operators' files and prints the state
/// folder's last good version, without a running gateway.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace gorsebeam::command_line {

struct ConfigArguments {
  /// The subcommand and its files: check FILE, fmt FILE, diff OLD NEW or show.
  std::vector<std::string> positional;
  /// Path of the platform configuration, whose classes the operators' files may name; absent: the
  /// files may name any class.
  std::optional<std::string> platform_config;
  /// The state folder that `show` reads.
  std::optional<std::string> state_folder;
};

/// Runs the subcommand and returns the exit status. The result is printed on standard output, an
/// error on standard error.
[[nodiscard]] int run_config_command(const ConfigArguments& arguments);

}  // namespace gorsebeam::command_line
