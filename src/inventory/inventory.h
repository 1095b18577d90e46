/// Reads an inventory, a file with a list of endpoints that the operators' configuration tools
/// maintain: CSV with a header, or YAML in the form of Ansible's inventories.
#pragma once

#include "common/result.h"
#include "proxy/listed_endpoint.h"
#include "settings/file_error.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gorsebeam::inventory {

/// The variables of a host, in an inventory of either format.
constexpr std::array kVariables{"address", "ansible_host", "ansible_port", "group", "name",
                                "role",    "size",         "started",      "state", "zone"};

/// How deep a variable is set: 0 by the outermost group that contains the host, up to
/// `kHostDepth` by the host itself.
using SettingDepth = std::int8_t;
constexpr SettingDepth kUnsetDepth = -1;
constexpr SettingDepth kHostDepth = 127;

/// Where the variables of one host are set.
struct HostLayout {
  std::string name;
  std::array<SettingDepth, kVariables.size()> depths{};  ///< In the order of `kVariables`.
};

/// Which file a path named; differs once another file is renamed to the path.
struct FileIdentity {
  std::uint64_t device = 0;
  std::uint64_t inode = 0;

  bool operator==(const FileIdentity& other) const {
    return device == other.device && inode == other.inode;
  }
};

/// What a file held, but for the values of the variables.
struct InventoryLayout {
  std::vector<HostLayout> hosts;  ///< In the order of the file.
  FileIdentity identity;
  std::size_t line_count = 0;
  bool has_end = false;  ///< The file ends in an end mark or, in YAML, in the line "...".
};

struct Inventory {
  std::vector<proxy::ListedEndpoint> endpoints;  ///< In the order of the file.
  InventoryLayout layout;
};

using InventoryResult = common::Result<Inventory, settings::FileError>;

/// Reads a file whose name ends in .csv, .yaml or .yml. An inventory without endpoints is an error.
///
/// CSV has these columns, in any order: name, address and group; optionally zone, role (primary or
/// replica), state (up, draining or removed), size, and started (Unix seconds). YAML has the levels
/// all, children and hosts; the columns' names are variables of a host or of a group that contains
/// the host. If the address is absent, `ansible_host` and `ansible_port` replace it.
///
/// The last line has to end. If the first line is the comment "# end mark: TEXT", the last line has
/// to be the comment "# TEXT". `rewrite_check.h` compares a file with what it held before.
[[nodiscard]] InventoryResult read_inventory(const std::string& path);

}  // namespace gorsebeam::inventory
