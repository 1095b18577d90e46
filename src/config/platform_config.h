// The gateway's configuration: what RELAY_CONFIG holds.
#pragma once

#include "discovery/endpoint_list.h"
#include "settings/settings.h"

#include <cstdint>
#include <string>

namespace gorsebeam::config {

constexpr std::size_t kSocketsLeast =
    48;  // two fronts with a few connections each, and what is kept spare

struct Config {
  std::string name, listen, discovery;
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  std::string fixed;  // all that only a new start takes up, as text
  discovery::EndpointListDocument known;
  settings::Profile profile;
};

Config read_config(const std::string& path);  // throws settings::FormatError naming file and field

}  // namespace gorsebeam::config
