/// Reads the platform's settings object, a part of the simulator's NEW_INSTANCE message and of the
/// gateway's platform configuration.
#pragma once

#include "json_object_reader.h"

#include "gorsebeam/router.h"

#include <cstddef>
#include <map>
#include <string>

namespace gorsebeam::settings {

/// What the platform configures for one deployment.
struct DeploymentProfile {
  Settings settings;  ///< The router's settings.
  /// Index of each request class in `settings.classes` by its name.
  std::map<std::string, std::size_t> class_indexes;
  /// Index of each tenant in `settings.tenants` by its name.
  std::map<std::string, std::size_t> tenant_indexes;
  /// The position that the simulator's replication positions are relative to.
  ReplicationPosition replication_epoch{};
  /// How long a connection may be idle before the endpoint closes it; 0: the endpoint never does.
  Duration endpoint_idle_timeout{};
};

/// Converts the settings' JSON keys and values to a profile. Throws FormatError for the first
/// invalid field.
[[nodiscard]] DeploymentProfile read_deployment_profile(const JsonObjectReader& profile);

}  // namespace gorsebeam::settings
