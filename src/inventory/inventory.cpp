#include "inventory.h"

#include "endpoint_list_builder.h"

namespace gorsebeam::inventory {
namespace {

bool ends_with(const std::string& text, const std::string& ending) {
  return text.size() >= ending.size() &&
         text.compare(text.size() - ending.size(), ending.size(), ending) == 0;
}

InventoryResult read_by_extension(const std::string& path) {
  if (ends_with(path, ".csv"))
    return read_csv(path);
  if (ends_with(path, ".yaml") || ends_with(path, ".yml"))
    return read_yaml(path);
  return settings::FileError{path, 0, std::nullopt,
                             "the file name of an inventory must end in .csv, .yaml or .yml"};
}

}  // namespace

InventoryResult read_inventory(const std::string& path) {
  InventoryResult endpoints = read_by_extension(path);
  if (endpoints && endpoints.value().empty())
    return settings::FileError{path, 0, std::nullopt, "lists no endpoints"};
  return endpoints;
}

}  // namespace gorsebeam::inventory
