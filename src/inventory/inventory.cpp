#include "inventory.h"

#include "endpoint_list_builder.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>
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

/// The comment that announces the inventory's last line, as its first line.
constexpr std::string_view kEndMarkAnnouncement = "# end mark: ";

std::string_view without_carriage_return(std::string_view line) {
  if (!line.empty() && line.back() == '\r')
    line.remove_suffix(1);
  return line;
}

/// Returns an error if the first line of `text` announces an end mark and the last line is not that
/// mark, as a comment: the file may have been cut behind a whole line.
std::optional<settings::FileError> check_end_mark(const std::string& path, std::string_view text) {
  const std::string_view first = without_carriage_return(text.substr(0, text.find('\n')));
  if (first.substr(0, kEndMarkAnnouncement.size()) != kEndMarkAnnouncement)
    return std::nullopt;
  const std::string expected = "# " + std::string(first.substr(kEndMarkAnnouncement.size()));
  const std::string_view lines = text.substr(0, text.size() - 1);
  const std::string_view last = without_carriage_return(lines.substr(lines.rfind('\n') + 1));
  if (last == expected)
    return std::nullopt;
  const auto line = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
  return settings::FileError{path, line, "end mark",
                             "the last line is not '" + expected +
                                 "', which the first line announces; complete the file, or "
                                 "remove its first line"};
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
  if (auto error = check_end_mark(path, text.value()))
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
