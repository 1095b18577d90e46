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
  Settings settings;                           ///< of the router
  std::map<std::string, std::size_t> classes;  ///< index in `settings.classes` by name
  std::map<std::string, std::size_t> tenants;  ///< index in `settings.tenants` by name
  ReplicationPosition
      replication_epoch{};  ///< the simulator's replication positions count from here
  Duration keepalive{};     ///< an endpoint closes a connection that is idle this long
};

/// Translates the settings' names and words. Throws FormatError on the first field at fault.
[[nodiscard]] DeploymentProfile read_deployment_profile(const JsonObjectReader& profile);

}  // namespace gorsebeam::settings
