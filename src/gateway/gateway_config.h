/// Reads the settings of a gateway, before it listens and again on SIGHUP.
#pragma once

#include "common/result.h"
#include "config/operator_file.h"
#include "config/platform_config.h"
#include "settings/file_error.h"

#include <string>

namespace gorsebeam::gateway {

/// All settings of one gateway, and the files that they were read from.
struct GatewayConfig {
  config::PlatformConfig platform;
  config::OperatorFile operator_file;
  std::string platform_config_path;
  std::string operator_file_path;  ///< Empty if there is no operators' file.
};

/// Reads and validates both files. The operators' file may name the classes in `running_classes`,
/// or, if that is null, those of the platform's configuration. A running gateway keeps the classes
/// with which it started. An error names the file, the line and the field.
[[nodiscard]] common::Result<GatewayConfig, settings::FileError>
read_gateway_config(const std::string& config_path, const std::string& file_path,
                    const config::ClassIndexes* running_classes = nullptr);

}  // namespace gorsebeam::gateway
