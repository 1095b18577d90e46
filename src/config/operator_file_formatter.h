/// Prints an operators' file in its usual form.
#pragma once

#include "common/result.h"
#include "settings/file_error.h"

#include <string>

namespace gorsebeam::config {

/// The file's text with each field on a line of its own, indented by two blanks a level. Comments
/// and single empty lines are kept. The file must parse by the schema; it is not validated further.
[[nodiscard]] common::Result<std::string, settings::FileError>
format_operator_file(const std::string& path);

}  // namespace gorsebeam::config
