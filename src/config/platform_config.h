/// Reads the platform's configuration of one gateway: the JSON file that RELAY_CONFIG names.
#pragma once

#include "common/result.h"
#include "discovery/endpoint_list.h"
#include "settings/deployment_profile.h"
#include "settings/file_error.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace gorsebeam::config {

/// Enough descriptors for two frontends with a few connections each, and for the spare ones.
constexpr std::size_t kMinSockets = 48;

struct PlatformConfig {
  std::string name;
  std::string listen_address;     ///< of the PostgreSQL frontend
  std::string discovery_address;  ///< of the discovery agent
  std::uint64_t seed = 0;
  std::size_t max_sockets = 1024;
  std::size_t memory_mib = 192;       ///< for all buffers, in MiB
  std::string restart_only_settings;  ///< JSON of what a running gateway does not change
  discovery::EndpointListDocument initial_endpoints;  ///< until discovery sends its first list
  settings::DeploymentProfile profile;
};

/// The error of a field has its line in the file and a message that names the field.
[[nodiscard]] common::Result<PlatformConfig, settings::FileError>
read_platform_config(const std::string& path);

}  // namespace gorsebeam::config
