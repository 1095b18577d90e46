/// Reads the endpoint list that configuration tools keep: CSV with a header, or YAML in the form of
/// Ansible's inventories.
#pragma once

#include "common/result.h"
#include "proxy/request_broker.h"
#include "settings/file_error.h"

#include <string>
#include <vector>

namespace gorsebeam::inventory {

using InventoryResult = common::Result<std::vector<proxy::ListedEndpoint>, settings::FileError>;

/// Reads a file whose name ends in .csv, .yaml or .yml. The list that it returns is not empty.
///
/// CSV columns, in any order: name, address, group; optionally zone, role (primary, replica), state
/// (up, draining, removed), size, started (Unix seconds). YAML: all/children/hosts, with the same
/// names as variables of a host or of a group that holds it; `ansible_host` and `ansible_port`
/// replace an absent address.
[[nodiscard]] InventoryResult read_inventory(const std::string& path);

}  // namespace gorsebeam::inventory
