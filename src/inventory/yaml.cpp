#include "endpoint_rows.h"
#include "settings/json_reader.h"

#include <yaml-cpp/yaml.h>

namespace gorsebeam::inventory {
namespace {

constexpr int kDeepest = 16;

std::size_t line_of(const YAML::Node& node) {
  return static_cast<std::size_t>(std::max(node.Mark().line, 0)) + 1;
}

class Tree {
public:
  explicit Tree(Rows& rows) : rows_(rows) {}

  void group(const std::string& name, const YAML::Node& node, Row inherited, int depth) {
    if (node.IsNull())
      return;
    if (!node.IsMap())
      rows_.wrong(line_of(node), name, "is not a map");
    if (depth > kDeepest)
      rows_.wrong(line_of(node), name, "is nested too deeply");
    if (node["vars"])
      variables(node["vars"], "vars", inherited);
    for (const auto& entry : node) {
      const std::string key = scalar(entry.first, name);
      if (key == "hosts")
        hosts(entry.second, inherited);
      else if (key == "children")
        children(entry.second, inherited, depth);
      else if (key != "vars")
        rows_.wrong(line_of(entry.first), key, "is none of hosts, children and vars");
    }
  }

private:
  std::string scalar(const YAML::Node& node, const std::string& field) const {
    if (!node.IsScalar())
      rows_.wrong(line_of(node), field, "is not a plain value");
    return node.Scalar();
  }

  void children(const YAML::Node& node, const Row& inherited, int depth) {
    if (!node.IsMap())
      rows_.wrong(line_of(node), "children", "is not a map");
    for (const auto& child : node)
      group(scalar(child.first, "children"), child.second, inherited, depth + 1);
  }

  void hosts(const YAML::Node& node, const Row& inherited) {
    if (!node.IsMap())
      rows_.wrong(line_of(node), "hosts", "is not a map");
    for (const auto& host : node) {
      Row row = inherited;
      const std::size_t line = line_of(host.first);
      row["name"] = {scalar(host.first, "hosts"), line};
      if (!host.second.IsNull())
        variables(host.second, row["name"].text, row);
      if (!row.count("address") && row.count("ansible_host")) {
        const Field port = row.count("ansible_port") ? row["ansible_port"] : Field{"", line};
        if (port.text.empty())
          rows_.wrong(line, "ansible_port", "is missing");
        row["address"] = {row["ansible_host"].text + ":" + port.text, row["ansible_host"].line};
      }
      rows_.add(row, line);
    }
  }

  // Variables that are not ours belong to the tool and are left alone; a nearer one wins.
  void variables(const YAML::Node& node, const std::string& name, Row& row) const {
    if (!node.IsMap())
      rows_.wrong(line_of(node), name, "is not a map");
    for (const auto& entry : node) {
      const std::string key = scalar(entry.first, name);
      if (Rows::known(key) || key == "ansible_host" || key == "ansible_port")
        row[key] = {scalar(entry.second, key), line_of(entry.second)};
    }
  }

  Rows& rows_;
};

}  // namespace

void read_yaml(const std::string& path, Rows& rows) {
  try {
    const YAML::Node root = YAML::LoadFile(path);
    if (!root.IsMap())
      rows.wrong(1, "all", "is missing");
    for (const auto& entry : root) {
      const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "";
      Tree(rows).group(name, entry.second, {}, 0);
    }
  } catch (const YAML::BadFile&) {
    throw settings::FormatError(path + ": cannot be read");
  } catch (const YAML::Exception& error) {
    rows.wrong(static_cast<std::size_t>(std::max(error.mark.line, 0)) + 1, "yaml", error.msg);
  }
}

}  // namespace gorsebeam::inventory
