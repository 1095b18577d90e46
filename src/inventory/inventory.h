// The member list as configuration tools keep it: CSV with a header, or YAML in the form of
// Ansible's inventories.
#pragma once

#include "proxy/request_broker.h"

#include <string>
#include <vector>

namespace gorsebeam::inventory {

// By the file's ending: .csv, .yaml or .yml. Throws settings::FormatError that names file, line and
// field.
//
// CSV columns, in any order: name, address, group; and if wanted zone, role (primary, replica),
// state (up, draining, removed), size, started (Unix seconds). YAML: all/children/hosts, with the
// same names as variables of a host or of a group that holds it; `ansible_host` and `ansible_port`
// stand in for the address.
std::vector<proxy::ListedEndpoint> read(const std::string& path);

}  // namespace gorsebeam::inventory
