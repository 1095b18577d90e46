/// Reads the operators' file, which `serve --file` names. Its format is protobuf text format with
/// the schema in schema/gorsebeam/config/v1.
#pragma once

#include "common/result.h"
#include "inventory/inventory.h"
#include "settings/file_error.h"
#include "validation.h"

#include <map>
#include <string>
#include <vector>

namespace gorsebeam::config {

/// The layouts of inventories by their paths.
using InventoryLayouts = std::map<std::string, inventory::InventoryLayout>;

/// A validated operators' file.
struct OperatorFile {
  pb::Gateway gateway;        ///< The file's message, without the rows of its inventories.
  pb::Members members;        ///< The file's members and the rows of its inventories.
  ValidationContext context;  ///< What the file was validated against.
  InventoryLayouts inventories;
};

/// Reads and validates the file and the inventories that it names; the inventories' paths are
/// relative to the file's folder. The file may name only classes in `classes`. If `classes` is
/// null, any class is accepted, for `config check` without a platform configuration. Error messages
/// also say how to correct the file.
[[nodiscard]] common::Result<OperatorFile, settings::FileError>
read_operator_file(const std::string& path, const ClassIndexes* classes);

/// The paths of the inventories that the file names; none if the file cannot be read.
[[nodiscard]] std::vector<std::string> inventory_paths(const std::string& path);

}  // namespace gorsebeam::config
