/// The settings that the gateway reads before it listens.
#pragma once

#include "common/result.h"
#include "config/operator_file.h"
#include "config/platform_config.h"
#include "settings/file_error.h"

#include <string>

namespace gorsebeam::gateway {

struct Plan {
  config::PlatformConfig config;
  config::OperatorFile file;
  std::string config_path;  ///< Read again on SIGHUP.
  std::string file_path;    ///< Read again on SIGHUP; empty if there is no operators' file.
};

/// Reads and validates both files. An error names the file, the line and the field.
[[nodiscard]] common::Result<Plan, settings::FileError> read_plan(const std::string& config_path,
                                                                  const std::string& file_path);

}  // namespace gorsebeam::gateway
