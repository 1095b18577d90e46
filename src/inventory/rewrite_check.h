/// Finds out whether an inventory may be the beginning of a file that is being rewritten in place,
/// by comparison with what the file held before. Pure.
///
/// What a rewrite has not written yet is at the end of the file: the last host may lack variables,
/// which it then inherits or which have their defaults, groups may lack variables that follow their
/// hosts, and further hosts may be missing. The beginning can be a valid inventory of other
/// endpoints.
#pragma once

#include "inventory.h"

#include "settings/file_error.h"

#include <optional>
#include <string>

namespace gorsebeam::inventory {

/// Returns an error if `current`, read from `path`, may be such a beginning; `previous` is what the
/// same path held when it was last applied. Empty if another file has been renamed to the path, or
/// if the file has an end mark.
[[nodiscard]] std::optional<settings::FileError>
find_cut(const std::string& path, const InventoryLayout& previous, const InventoryLayout& current);

}  // namespace gorsebeam::inventory
