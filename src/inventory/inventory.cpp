#include "inventory.h"

#include "endpoint_rows.h"
#include "net/stream.h"
#include "settings/json_reader.h"

#include <charconv>
#include <cmath>
#include <cstdlib>

namespace gorsebeam::inventory {
namespace {

bool ends_in(const std::string& path, const std::string& ending) {
  return path.size() >= ending.size() &&
         path.compare(path.size() - ending.size(), ending.size(), ending) == 0;
}

}  // namespace

void Rows::wrong(std::size_t line, const std::string& field, const std::string& what) const {
  throw settings::field_error(path_, line, field, what);
}

bool Rows::known(const std::string& field) {
  static const std::set<std::string> fields{"name", "address", "group", "zone",
                                            "role", "state",   "size",  "started"};
  return fields.count(field) > 0;
}

void Rows::add(const Row& row, std::size_t line) {
  const auto text = [&](const char* field) {
    const auto found = row.find(field);
    return found == row.end() ? std::string() : found->second.text;
  };
  const auto bad = [&](const char* field, const std::string& what) {
    const auto found = row.find(field);
    wrong(found == row.end() ? line : found->second.line, field, what);
  };
  const auto number = [&](const char* field, double fallback, double least, double most) {
    const std::string value = text(field);
    if (value.empty())
      return fallback;
    char* end = nullptr;
    const double read = std::strtod(value.c_str(), &end);
    if (*end != '\0' || !std::isfinite(read) || read < least || read > most)
      bad(field, "'" + value + "' is no number in range");
    return read;
  };
  proxy::ListedEndpoint listed;
  Endpoint& member = listed.endpoint;
  listed.name = text("name");
  if (listed.name.empty())
    bad("name", "is missing");
  if (!names_.insert(listed.name).second)
    bad("name", "'" + listed.name + "' stands twice");
  listed.address = text("address");
  if (listed.address.empty())
    bad("address", "is missing");
  if (!net::parse_address(listed.address))
    bad("address", "'" + listed.address + "' is no numeric address and port");
  const std::string group = text("group");
  const auto [end, fault] =
      std::from_chars(group.data(), group.data() + group.size(), member.group);
  if (group.empty())
    bad("group", "is missing");
  if (fault != std::errc() || end != group.data() + group.size())
    bad("group", "'" + group + "' is no whole number");
  member.zone = text("zone");
  const std::string role = text("role");
  if (role != "" && role != "primary" && role != "replica")
    bad("role", "'" + role + "' is neither primary nor replica");
  member.listed_as_primary = role == "primary";
  if (member.listed_as_primary && !with_primary_.insert(member.group).second)
    bad("role", "the group has a primary already");
  const std::string state = text("state");
  if (state != "" && state != "up" && state != "draining" && state != "removed")
    bad("state", "'" + state + "' is none of up, draining and removed");
  member.status = state == "draining"  ? EndpointStatus::Draining
                  : state == "removed" ? EndpointStatus::Removed
                                       : EndpointStatus::Up;
  member.weight = number("size", 1, 1e-6, 1e6);
  member.started_at = static_cast<Nanos>(number("started", 0, 0, 9e9) * 1e9);
  members.push_back(std::move(listed));
}

std::vector<proxy::ListedEndpoint> read(const std::string& path) {
  Rows rows(path);
  if (ends_in(path, ".csv"))
    read_csv(path, rows);
  else if (ends_in(path, ".yaml") || ends_in(path, ".yml"))
    read_yaml(path, rows);
  else
    throw settings::FormatError(path + ": an inventory's name ends in .csv, .yaml or .yml");
  if (rows.members.empty())
    throw settings::FormatError(path + ": names no member");
  return std::move(rows.members);
}

}  // namespace gorsebeam::inventory
