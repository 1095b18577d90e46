/// `gorsebeam config show`: prints the last good version that a state folder holds.
#pragma once

#include <string>

namespace gorsebeam::command_line {

/// Prints the version in text format and returns the exit status.
[[nodiscard]] int show_snapshot(const std::string& state_folder);

}  // namespace gorsebeam::command_line
