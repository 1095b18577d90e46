/// Builds a list of endpoints from the rows of an inventory of either file format.
#pragma once

#include "inventory.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace gorsebeam::inventory {

/// One value of an inventory and its place in the file.
struct Cell {
  std::string text;
  std::size_t line = 0;  ///< Counted from 1.
  SettingDepth depth = kHostDepth;
};

/// The cells of one endpoint by the names of their variables.
using Row = std::map<std::string, Cell>;

/// Validates rows and converts them to endpoints. Names must be unique, and a group may have at
/// most one primary.
class EndpointListBuilder {
public:
  explicit EndpointListBuilder(std::string path) : path_(std::move(path)) {}

  /// Adds the endpoint of `row`, which starts at `line`. The builder must not be used after an
  /// error.
  [[nodiscard]] std::optional<settings::FileError> add_row(const Row& row, std::size_t line);

  /// Returns an error in the inventory.
  [[nodiscard]] settings::FileError make_error(std::size_t line, const std::string& field,
                                               const std::string& message) const;

  /// Whether `name` is one of an inventory's columns.
  [[nodiscard]] static bool is_column(const std::string& name);

  /// Moves the endpoints and their layouts out of the builder, in the order of their rows.
  [[nodiscard]] Inventory release() { return std::move(inventory_); }

private:
  std::string path_;
  std::set<std::string> names_;
  std::set<GroupId> groups_with_primary_;
  Inventory inventory_;
};

/// Parses the text of the CSV inventory at `path`, which may be without endpoints.
[[nodiscard]] InventoryResult parse_csv(const std::string& path, std::string text);

/// Parses the text of the YAML inventory at `path`, which may be without endpoints.
[[nodiscard]] InventoryResult parse_yaml(const std::string& path, const std::string& text);

}  // namespace gorsebeam::inventory
