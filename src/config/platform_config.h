/// Reads the platform configuration of one gateway: the JSON file that `--config` or RELAY_CONFIG
/// names.
#pragma once

#include "common/result.h"
#include "discovery/endpoint_list.h"
#include "settings/deployment_profile.h"
#include "settings/file_error.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace gorsebeam::config {

/// Enough descriptors for two frontends with a few connections each and for the descriptors that
/// the gateway reserves for its own use.
constexpr std::size_t kMinSockets = 48;

struct PlatformConfig {
  std::string name;               ///< The gateway's name.
  std::string listen_address;     ///< The address of the PostgreSQL frontend.
  std::string discovery_address;  ///< The address of the discovery agent.
  std::uint64_t seed = 0;         ///< The seed of the router's random numbers.
  std::size_t max_sockets = 1024;
  std::size_t memory_mib = 192;  ///< The limit for all buffers together, in MiB.
  /// The JSON text of the sections that a running gateway cannot change, to detect a change of them
  /// on reload.
  std::string restart_only_settings;
  /// The endpoints to use until discovery sends its first list.
  discovery::EndpointListDocument initial_endpoints;
  settings::DeploymentProfile profile;
};

/// Reads and validates the file. An error of a field has the field's line and a message that names
/// the field.
[[nodiscard]] common::Result<PlatformConfig, settings::FileError>
read_platform_config(const std::string& path);

}  // namespace gorsebeam::config
