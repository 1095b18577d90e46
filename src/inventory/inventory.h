/// Reads an inventory, a file with a list of endpoints that the operators' configuration tools
/// maintain: CSV with a header, or YAML in the form of Ansible's inventories.
#pragma once

#include "common/result.h"
#include "proxy/listed_endpoint.h"
#include "settings/file_error.h"

#include <string>
#include <vector>

namespace gorsebeam::inventory {

using InventoryResult = common::Result<std::vector<proxy::ListedEndpoint>, settings::FileError>;

/// Reads a file whose name ends in .csv, .yaml or .yml. An inventory without endpoints is an error.
///
/// CSV has these columns, in any order: name, address and group; optionally zone, role (primary or
/// replica), state (up, draining or removed), size, and started (Unix seconds). YAML has the levels
/// all, children and hosts; the columns' names are variables of a host or of a group that contains
/// the host. If the address is absent, `ansible_host` and `ansible_port` replace it.
///
/// The last line has to end. If the first line is the comment "# end mark: TEXT", the last line has
/// to be the comment "# TEXT".
[[nodiscard]] InventoryResult read_inventory(const std::string& path);

}  // namespace gorsebeam::inventory
