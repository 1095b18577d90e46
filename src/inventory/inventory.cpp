#include "inventory.h"

#include "endpoint_list_builder.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace gorsebeam::inventory {
namespace {

bool ends_with(const std::string& text, const std::string& ending) {
  return text.size() >= ending.size() &&
         text.compare(text.size() - ending.size(), ending.size(), ending) == 0;
}

/// Returns an error if the last line of `text` does not end. Of a file that is being written, the
/// part that is there may be a valid inventory of other endpoints, such as of group 1 in place of
/// 11.
std::optional<settings::FileError> check_last_line(const std::string& path,
                                                   const std::string& text) {
  if (text.empty() || text.back() == '\n')
    return std::nullopt;
  const auto line = 1 + static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
  return settings::FileError{path, line, std::nullopt,
                             "the last line does not end, as in a file that is being written; end "
                             "it, or write another file and rename it to this one"};
}

InventoryResult read_by_extension(const std::string& path) {
  const bool is_csv = ends_with(path, ".csv");
  if (!is_csv && !ends_with(path, ".yaml") && !ends_with(path, ".yml"))
    return settings::FileError{path, 0, std::nullopt,
                               "the file name of an inventory must end in .csv, .yaml or .yml"};
  auto text = settings::read_text_file(path, "cannot be read");
  if (!text)
    return text.error();
  if (auto error = check_last_line(path, text.value()))
    return *std::move(error);
  return is_csv ? parse_csv(path, std::move(text.value())) : parse_yaml(path, text.value());
}

}  // namespace

InventoryResult read_inventory(const std::string& path) {
  InventoryResult endpoints = read_by_extension(path);
  if (endpoints && endpoints.value().empty())
    return settings::FileError{path, 0, std::nullopt, "lists no endpoints"};
  return endpoints;
}

}  // namespace gorsebeam::inventory
