/// Parses the program's arguments and runs the command that they name.
#pragma once

namespace gorsebeam::command_line {

/// Prints an error on standard error. Returns the exit status; for `serve` after the gateway ended.
[[nodiscard]] int run(int argc, char** argv);

}  // namespace gorsebeam::command_line
