#include "plan.h"

#include <utility>

namespace gorsebeam::gateway {

common::Result<Plan, settings::FileError> read_plan(const std::string& config_path,
                                                    const std::string& file_path) {
  auto platform_config = config::read_platform_config(config_path);
  if (!platform_config)
    return platform_config.error();
  Plan plan;
  plan.config_path = config_path;
  plan.file_path = file_path;
  plan.config = std::move(platform_config.value());
  plan.file.context.classes = plan.config.profile.class_indexes;
  if (file_path.empty())
    return plan;
  auto operator_file = config::read_operator_file(file_path, &plan.config.profile.class_indexes);
  if (!operator_file)
    return operator_file.error();
  plan.file = std::move(operator_file.value());
  return plan;
}

}  // namespace gorsebeam::gateway
