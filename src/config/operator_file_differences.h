/// Compares two versions of an operators' file by meaning.
#pragma once

#include "operator_file.h"

#include <string>
#include <vector>

namespace gorsebeam::config {

/// One line for each difference, by the names of teams, classes and members, e.g. "team 'portal'
/// budget.per_second: 300 -> 200". The order of teams, members, classes and groups has no meaning,
/// and an inventory counts by its rows, wherever they stand.
[[nodiscard]] std::vector<std::string> describe_differences(const OperatorFile& before,
                                                            const OperatorFile& after);

}  // namespace gorsebeam::config
