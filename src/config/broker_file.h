// The broker's own file, which `serve --broker` names: the teams' contracts and budgets, and the second front.
#pragma once

#include "broker/contracts.h"
#include "settings/settings.h"

#include <string>

namespace gorsebeam::config {

struct BrokerFile {
  broker::Contracts contracts;    // its classes are the settings'
  std::string fixed;              // all that only a new start takes up, as text
  std::string mongo_listen;       // empty: the front is off
  std::string mongo_inventory;    // its members
  std::string postgres_inventory; // empty: discovery tells them
};

// Reads it and enters the teams as tenants into the settings. Throws settings::FormatError naming file, line, field.
BrokerFile read_broker_file(const std::string& path, settings::Profile& profile);

} // namespace gorsebeam::config
