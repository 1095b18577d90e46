#include "endpoint_list_builder.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <optional>

namespace gorsebeam::inventory {
namespace {

using settings::FileError;
using OptionalError = std::optional<FileError>;

constexpr int kMaxGroupDepth = 16;

std::size_t line_of(const YAML::Mark& mark) {
  return static_cast<std::size_t>(std::max(mark.line, 0)) + 1;
}

std::size_t line_of(const YAML::Node& node) {
  return line_of(node.Mark());
}

/// Walks the groups of an inventory and adds a row for each host. All functions return the first
/// error that they find.
class GroupWalker {
public:
  explicit GroupWalker(EndpointListBuilder& builder) : builder_(builder) {}

  /// Adds the hosts of `group` and its children. `inherited` holds the variables of the groups that
  /// contain this one.
  [[nodiscard]] OptionalError add_group(const std::string& name, const YAML::Node& group,
                                        Row inherited, int depth) {
    if (group.IsNull())
      return std::nullopt;
    if (auto error = require_mapping(group, name))
      return error;
    if (depth > kMaxGroupDepth)
      return builder_.make_error(line_of(group), name,
                                 "is nested more than " + std::to_string(kMaxGroupDepth) +
                                     " levels deep");
    if (group["vars"])
      if (auto error = read_variables(group["vars"], "vars", depth_of_group(depth), inherited))
        return error;
    for (const auto& entry : group)
      if (auto error = add_section(name, entry.first, entry.second, inherited, depth))
        return error;
    return std::nullopt;
  }

private:
  [[nodiscard]] OptionalError require_mapping(const YAML::Node& node,
                                              const std::string& field) const {
    if (node.IsMap())
      return std::nullopt;
    return builder_.make_error(line_of(node), field, "must be a mapping");
  }

  [[nodiscard]] common::Result<std::string, FileError> read_scalar(const YAML::Node& node,
                                                                   const std::string& field) const {
    if (!node.IsScalar())
      return builder_.make_error(line_of(node), field, "must be a single value");
    return node.Scalar();
  }

  [[nodiscard]] OptionalError add_section(const std::string& group_name, const YAML::Node& key_node,
                                          const YAML::Node& section, const Row& inherited,
                                          int depth) {
    const auto key = read_scalar(key_node, group_name);
    if (!key)
      return key.error();
    if (key.value() == "hosts")
      return add_hosts(section, inherited);
    if (key.value() == "children")
      return add_children(section, inherited, depth);
    if (key.value() != "vars")
      return builder_.make_error(line_of(key_node), key.value(),
                                 "is none of hosts, children and vars");
    return std::nullopt;
  }

  [[nodiscard]] OptionalError add_children(const YAML::Node& children, const Row& inherited,
                                           int depth) {
    if (auto error = require_mapping(children, "children"))
      return error;
    for (const auto& child : children) {
      const auto name = read_scalar(child.first, "children");
      if (!name)
        return name.error();
      if (auto error = add_group(name.value(), child.second, inherited, depth + 1))
        return error;
    }
    return std::nullopt;
  }

  [[nodiscard]] OptionalError add_hosts(const YAML::Node& hosts, const Row& inherited) {
    if (auto error = require_mapping(hosts, "hosts"))
      return error;
    for (const auto& host : hosts)
      if (auto error = add_host(host.first, host.second, inherited))
        return error;
    return std::nullopt;
  }

  [[nodiscard]] OptionalError add_host(const YAML::Node& name_node, const YAML::Node& variables,
                                       Row row) {
    const std::size_t line = line_of(name_node);
    const auto name = read_scalar(name_node, "hosts");
    if (!name)
      return name.error();
    row["name"] = {name.value(), line};
    if (!variables.IsNull())
      if (auto error = read_variables(variables, name.value(), kHostDepth, row))
        return error;
    if (row.count("address") == 0 && row.count("ansible_host") > 0)
      if (auto error = set_address_from_ansible(row, line))
        return error;
    return builder_.add_row(row, line);
  }

  [[nodiscard]] OptionalError set_address_from_ansible(Row& row, std::size_t line) const {
    const Cell port = row.count("ansible_port") ? row["ansible_port"] : Cell{"", line};
    if (port.text.empty())
      return builder_.make_error(line, "ansible_port", "is missing");
    const Cell& host = row["ansible_host"];
    row["address"] = {host.text + ":" + port.text, host.line, host.depth};
    return std::nullopt;
  }

  static SettingDepth depth_of_group(int depth) { return static_cast<SettingDepth>(depth); }

  /// Adds variables that are set at `depth` to `row`, in place of inherited ones of the same name.
  /// Variables that are no columns are ignored, as they are meant for the configuration tool.
  [[nodiscard]] OptionalError read_variables(const YAML::Node& variables, const std::string& owner,
                                             SettingDepth depth, Row& row) const {
    if (auto error = require_mapping(variables, owner))
      return error;
    for (const auto& entry : variables) {
      const auto key = read_scalar(entry.first, owner);
      if (!key)
        return key.error();
      const std::string& name = key.value();
      if (!EndpointListBuilder::is_column(name) && name != "ansible_host" && name != "ansible_port")
        continue;
      const auto value = read_scalar(entry.second, name);
      if (!value)
        return value.error();
      row[name] = {value.value(), line_of(entry.second), depth};
    }
    return std::nullopt;
  }

  EndpointListBuilder& builder_;
};

OptionalError add_root(const YAML::Node& root, EndpointListBuilder& builder) {
  if (!root.IsMap())
    return builder.make_error(1, "all", "is missing");
  GroupWalker walker(builder);
  for (const auto& entry : root) {
    const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "";
    if (auto error = walker.add_group(name, entry.second, {}, 0))
      return error;
  }
  return std::nullopt;
}

}  // namespace

InventoryResult parse_yaml(const std::string& path, const std::string& text) {
  EndpointListBuilder builder(path);
  // yaml-cpp reports errors by exceptions, both when it parses the text and when nodes are
  // accessed.
  try {
    if (auto error = add_root(YAML::Load(text), builder))
      return *std::move(error);
  } catch (const YAML::Exception& error) {
    return builder.make_error(line_of(error.mark), "yaml", error.msg);
  }
  return builder.release();
}

}  // namespace gorsebeam::inventory
