/// Builds a list of endpoints from the rows of an inventory, whatever its file format.
#pragma once

#include "inventory.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gorsebeam::inventory {

/// One value of an inventory and where it stands.
struct Cell {
  std::string text;
  std::size_t line = 0;  ///< from 1
};

/// The cells of one endpoint by column.
using Row = std::map<std::string, Cell>;

/// Checks rows and converts them to endpoints. Names are unique, and a group has at most one
/// primary.
class EndpointListBuilder {
public:
  explicit EndpointListBuilder(std::string path) : path_(std::move(path)) {}

  /// Adds the endpoint of `row`, which starts at `line`. After an error the builder is of no
  /// further use.
  [[nodiscard]] std::optional<settings::FileError> add_row(const Row& row, std::size_t line);

  [[nodiscard]] settings::FileError make_error(std::size_t line, const std::string& field,
                                               const std::string& message) const;

  /// Whether inventories have a column of this name.
  [[nodiscard]] static bool is_column(const std::string& name);

  /// Moves the endpoints out, in the order of their rows.
  [[nodiscard]] std::vector<proxy::ListedEndpoint> release_endpoints() {
    return std::move(endpoints_);
  }

private:
  std::string path_;
  std::set<std::string> names_;
  std::set<GroupId> groups_with_primary_;
  std::vector<proxy::ListedEndpoint> endpoints_;
};

/// Each reads a whole file of its format.
[[nodiscard]] InventoryResult read_csv(const std::string& path);
[[nodiscard]] InventoryResult read_yaml(const std::string& path);

}  // namespace gorsebeam::inventory
