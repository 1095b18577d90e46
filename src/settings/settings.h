// The settings object, as the simulator's first message and the gateway's configuration hold it.
#pragma once

#include "json_reader.h"

#include "gorsebeam/router.h"

#include <map>
#include <string>

namespace gorsebeam::settings {

struct Profile {
  Settings settings;
  std::map<std::string, std::size_t> classes;  // by name
  std::map<std::string, std::size_t> tenants;
  Nanos zero = 0;       // where the simulator's positions are reckoned from
  Nanos keepalive = 0;  // an idle connection is closed by the member after this
};

Profile read_profile(const Reader& profile);  // throws FormatError

}  // namespace gorsebeam::settings
