/// `gorsebeam config ...`: works on the operators' files and the state folder, without a gateway.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace gorsebeam::command_line {

struct ConfigArguments {
  std::vector<std::string> words;              ///< check FILE, fmt FILE, diff OLD NEW or show
  std::optional<std::string> platform_config;  ///< supplies the classes that files may name
  std::optional<std::string> state_folder;     ///< for show
};

/// Prints the result on standard output and an error on standard error. Returns the exit status.
[[nodiscard]] int run_config_command(const ConfigArguments& arguments);

}  // namespace gorsebeam::command_line
