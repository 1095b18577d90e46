/// Parses the program's arguments and runs the command that they name.
#pragma once

namespace gorsebeam::command_line {

/// Runs the command and returns the exit status; `serve` returns when the gateway has ended. Errors
/// are printed on standard error.
[[nodiscard]] int run(int argc, char** argv);

}  // namespace gorsebeam::command_line
