/// The platform's settings object, which the simulator's first message and the gateway's
/// configuration hold.
#pragma once

#include "json_object_reader.h"

#include "gorsebeam/router.h"

#include <cstddef>
#include <map>
#include <string>

namespace gorsebeam::settings {

/// What the platform settles for one deployment.
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

/// Translates the settings' names and words. Throws FormatError on the first field at fault.
[[nodiscard]] DeploymentProfile read_deployment_profile(const JsonObjectReader& profile);

}  // namespace gorsebeam::settings
