/// Exit statuses of the program.
#pragma once

namespace gorsebeam::command_line {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;   ///< a file is wrong; for `config diff`: the files differ
constexpr int kExitUnusable = 2;  ///< wrong usage; for `config diff` and `show`: nothing to read

}  // namespace gorsebeam::command_line
