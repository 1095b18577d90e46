#include "inventory.h"

#include "endpoint_list_builder.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

#include <sys/stat.h>

namespace gorsebeam::inventory {
namespace {

bool ends_with(const std::string& text, const std::string& ending) {
  return text.size() >= ending.size() &&
         text.compare(text.size() - ending.size(), ending.size(), ending) == 0;
}

/// The number of lines that end.
std::size_t count_lines(std::string_view text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

/// Returns an error if the last line of `text` does not end. Of a file that is being written, the
/// part that is there may be a valid inventory of other endpoints, such as of group 1 in place of
/// 11.
std::optional<settings::FileError> check_last_line(const std::string& path,
                                                   const std::string& text) {
  if (text.empty() || text.back() == '\n')
    return std::nullopt;
  return settings::FileError{path, count_lines(text) + 1, std::nullopt,
                             "the last line does not end, as in a file that is being written; end "
                             "it, or write another file and rename it to this one"};
}

/// The comment that announces the inventory's last line, as its first line.
constexpr std::string_view kEndMarkAnnouncement = "# end mark: ";

constexpr std::string_view kYamlDocumentEnd = "...";

std::string_view without_carriage_return(std::string_view line) {
  if (!line.empty() && line.back() == '\r')
    line.remove_suffix(1);
  return line;
}

/// Returns the last line of `text`, which ends in a line end unless it is empty.
std::string_view last_line_of(std::string_view text) {
  text.remove_suffix(std::min<std::size_t>(text.size(), 1));
  return without_carriage_return(text.substr(text.rfind('\n') + 1));
}

/// Whether the first line of `text` announces an end mark.
bool announces_end_mark(std::string_view text) {
  return text.substr(0, kEndMarkAnnouncement.size()) == kEndMarkAnnouncement;
}

/// Returns an error if the first line of `text` announces an end mark and the last line is not that
/// mark, as a comment: the file may have been cut behind a whole line.
std::optional<settings::FileError> check_end_mark(const std::string& path, std::string_view text) {
  if (!announces_end_mark(text))
    return std::nullopt;
  const std::string_view first = without_carriage_return(text.substr(0, text.find('\n')));
  const std::string expected = "# " + std::string(first.substr(kEndMarkAnnouncement.size()));
  if (last_line_of(text) == expected)
    return std::nullopt;
  return settings::FileError{path, count_lines(text), "end mark",
                             "the last line is not '" + expected +
                                 "', which the first line announces; complete the file, or "
                                 "remove its first line"};
}

/// The identity of the file at `path`; zeros if there is none.
FileIdentity identity_of(const std::string& path) {
  struct stat status {};

  if (stat(path.c_str(), &status) != 0)
    return {};
  return {status.st_dev, status.st_ino};
}

InventoryResult read_by_extension(const std::string& path) {
  const bool is_csv = ends_with(path, ".csv");
  if (!is_csv && !ends_with(path, ".yaml") && !ends_with(path, ".yml"))
    return settings::FileError{path, 0, std::nullopt,
                               "the file name of an inventory must end in .csv, .yaml or .yml"};
  // Before the text, so that a file which replaces this one meanwhile is not taken for an older
  // one.
  const FileIdentity identity = identity_of(path);
  auto text = settings::read_text_file(path, "cannot be read");
  if (!text)
    return text.error();
  if (auto error = check_last_line(path, text.value()))
    return *std::move(error);
  if (auto error = check_end_mark(path, text.value()))
    return *std::move(error);
  const std::string content = std::move(text.value());
  InventoryResult inventory = is_csv ? parse_csv(path, content) : parse_yaml(path, content);
  if (!inventory)
    return inventory;
  const bool has_yaml_end = !is_csv && last_line_of(content) == kYamlDocumentEnd;
  InventoryLayout& layout = inventory.value().layout;
  layout.identity = identity;
  layout.line_count = count_lines(content);
  layout.has_end = announces_end_mark(content) || has_yaml_end;
  return inventory;
}

}  // namespace

InventoryResult read_inventory(const std::string& path) {
  InventoryResult inventory = read_by_extension(path);
  if (inventory && inventory.value().endpoints.empty())
    return settings::FileError{path, 0, std::nullopt, "lists no endpoints"};
  return inventory;
}

}  // namespace gorsebeam::inventory
