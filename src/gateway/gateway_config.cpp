#include "gateway_config.h"

#include <utility>

namespace gorsebeam::gateway {

common::Result<GatewayConfig, settings::FileError>
read_gateway_config(const std::string& config_path, const std::string& file_path,
                    const config::ClassIndexes* running_classes) {
  auto platform_config = config::read_platform_config(config_path);
  if (!platform_config)
    return platform_config.error();
  GatewayConfig config;
  config.platform_config_path = config_path;
  config.operator_file_path = file_path;
  config.platform = std::move(platform_config.value());
  const config::ClassIndexes& classes =
      running_classes != nullptr ? *running_classes : config.platform.profile.class_indexes;
  config.operator_file.context.classes = classes;
  if (file_path.empty())
    return config;
  auto operator_file = config::read_operator_file(file_path, &classes);
  if (!operator_file)
    return operator_file.error();
  config.operator_file = std::move(operator_file.value());
  return config;
}

}  // namespace gorsebeam::gateway
