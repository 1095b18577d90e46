/// Reads the operators' file, which `serve --file` names: protobuf text format,
/// schema/gorsebeam/config/v1.
#pragma once

#include "common/result.h"
#include "settings/file_error.h"
#include "validation.h"

#include <string>

namespace gorsebeam::config {

/// One validated version of what an operator configures.
struct OperatorFile {
  pb::Gateway gateway;  ///< as it is written
  pb::Members members;  ///< with the rows of the inventories that the file names
  ValidationContext context;
};

/// Reads and validates the file and the inventories that it names; their paths are relative to its
/// folder. Classes are validated against `classes`; where that is null, each class that the file
/// names is accepted, as `config check` has no platform settings. The error's message holds the
/// remedy.
[[nodiscard]] common::Result<OperatorFile, settings::FileError>
read_operator_file(const std::string& path, const ClassIndexes* classes);

}  // namespace gorsebeam::config
