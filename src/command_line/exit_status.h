/// Exit statuses of the program.
#pragma once

namespace gorsebeam::command_line {

/// Success; for `config diff`: the files do not differ.
constexpr int kExitSuccess = 0;
/// A file is invalid, the options cannot be parsed or the gateway cannot start; for `config diff`:
/// the files differ.
constexpr int kExitFailure = 1;
/// The command is unknown or its arguments are wrong; for `config diff` and `config show`: the
/// input cannot be read or is invalid. `diff` and `cmp` use the same number.
constexpr int kExitTrouble = 2;

}  // namespace gorsebeam::command_line
