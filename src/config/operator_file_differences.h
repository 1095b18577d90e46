/// Compares the content of two operators' files.
#pragma once

#include "operator_file.h"

#include <string>
#include <vector>

namespace gorsebeam::config {

/// Returns a line for each difference. A line such as "contracts team 'a'.budget.burst: 20 -> 10"
/// contains the names of teams, classes and members. These are matched by name, and the order of
/// teams, members, classes and groups is ignored. An inventory is compared by its rows, so a member
/// may move between an inventory and the file's list.
[[nodiscard]] std::vector<std::string> describe_differences(const OperatorFile& before,
                                                            const OperatorFile& after);

}  // namespace gorsebeam::config
