#include "rewrite_check.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace gorsebeam::inventory {
namespace {

/// What is missing at the end of a file.
struct Cut {
  std::string variable;  ///< "hosts" if a host is missing.
  std::string message;
};

constexpr std::size_t kGroupVariable = 3;
static_assert(std::string_view(kVariables[kGroupVariable]) == "group");

using HostsByName = std::unordered_map<std::string_view, const HostLayout*>;

HostsByName index_hosts(const InventoryLayout& layout) {
  HostsByName hosts;
  hosts.reserve(layout.hosts.size());
  for (const HostLayout& host : layout.hosts)
    hosts.emplace(host.name, &host);
  return hosts;
}

bool sets_group_itself(const HostLayout& host) {
  return host.depths[kGroupVariable] == kHostDepth;
}

enum class SetBy { Host, Group };

/// Returns the first variable that `previous` has from `set_by`, and that is now set less deep or
/// not at all.
std::optional<std::string> find_lost_variable(const HostLayout& previous, const HostLayout& current,
                                              SetBy set_by) {
  for (std::size_t i = 0; i < kVariables.size(); ++i) {
    const SetBy previously_by = previous.depths[i] == kHostDepth ? SetBy::Host : SetBy::Group;
    if (previously_by == set_by && current.depths[i] < previous.depths[i])
      return kVariables[i];
  }
  return std::nullopt;
}

std::optional<Cut> find_missing_last_host(const InventoryLayout& previous,
                                          const InventoryLayout& current) {
  const std::string& last = previous.hosts.back().name;
  const bool is_listed =
      std::any_of(current.hosts.begin(), current.hosts.end(), [&last](const HostLayout& host) {
        return host.name == last;
      });
  if (is_listed)
    return std::nullopt;
  return Cut{"hosts", "the last host of the inventory in force, '" + last + "', is missing"};
}

std::optional<Cut> find_lost_variable_of_last_host(const HostLayout& last,
                                                   const HostsByName& previous) {
  const auto found = previous.find(last.name);
  if (found == previous.end())
    return std::nullopt;
  const auto variable = find_lost_variable(*found->second, last, SetBy::Host);
  if (!variable)
    return std::nullopt;
  return Cut{*variable, "is missing in the last host, '" + last.name +
                            "', which had it in the inventory in force"};
}

/// A last host that is new and inherits its group, while others set theirs.
std::optional<Cut> find_doubtful_group(const InventoryLayout& current,
                                       const HostsByName& previous) {
  const HostLayout& last = current.hosts.back();
  if (sets_group_itself(last) || previous.count(last.name) > 0)
    return std::nullopt;
  if (!std::any_of(current.hosts.begin(), current.hosts.end(), sets_group_itself))
    return std::nullopt;
  return Cut{kVariables[kGroupVariable], "is missing in the last host, '" + last.name +
                                             "', which is new, while other hosts have their own"};
}

std::optional<Cut> find_lost_variable_of_group(const InventoryLayout& current,
                                               const HostsByName& previous) {
  for (const HostLayout& host : current.hosts) {
    const auto found = previous.find(host.name);
    if (found == previous.end())
      continue;
    const auto variable = find_lost_variable(*found->second, host, SetBy::Group);
    if (variable)
      return Cut{*variable, "is missing in a group of host '" + host.name +
                                "', which had it in the inventory in force"};
  }
  return std::nullopt;
}

std::optional<Cut> find_any_cut(const InventoryLayout& previous, const InventoryLayout& current) {
  if (auto cut = find_missing_last_host(previous, current))
    return cut;
  const HostsByName previous_hosts = index_hosts(previous);
  if (auto cut = find_lost_variable_of_last_host(current.hosts.back(), previous_hosts))
    return cut;
  if (auto cut = find_doubtful_group(current, previous_hosts))
    return cut;
  return find_lost_variable_of_group(current, previous_hosts);
}

}  // namespace

std::optional<settings::FileError>
find_cut(const std::string& path, const InventoryLayout& previous, const InventoryLayout& current) {
  const bool is_same_file = previous.identity == current.identity;
  if (!is_same_file || current.has_end || previous.hosts.empty() || current.hosts.empty())
    return std::nullopt;
  const std::optional<Cut> cut = find_any_cut(previous, current);
  if (!cut)
    return std::nullopt;
  return settings::FileError{path, current.line_count, cut->variable,
                             cut->message + ", as in a file that is being written; complete it, or "
                                            "write another file and rename it to this one"};
}

}  // namespace gorsebeam::inventory
