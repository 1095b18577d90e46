/// Formats an operators' file.
#pragma once

#include "common/result.h"
#include "settings/file_error.h"

#include <string>

namespace gorsebeam::config {

/// Returns the file's text with each field on a line of its own, indented by two spaces a level.
/// Comments are kept, and a run of empty lines becomes one. A file that does not match the schema
/// is an error; the file is not validated further.
[[nodiscard]] common::Result<std::string, settings::FileError>
format_operator_file(const std::string& path);

}  // namespace gorsebeam::config
