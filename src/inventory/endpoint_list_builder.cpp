#include "endpoint_list_builder.h"

#include "net/stream.h"

#include <charconv>
#include <cmath>
#include <cstdlib>

namespace gorsebeam::inventory {
namespace {

using settings::FileError;
using OptionalError = std::optional<FileError>;

/// Converts the cells of one row. Each parse function returns an error if its cell is invalid.
class RowParser {
public:
  RowParser(const EndpointListBuilder& builder, const Row& row, std::size_t line)
      : builder_(builder), row_(row), line_(line) {}

  [[nodiscard]] FileError make_error(const char* field, const std::string& message) const {
    const auto cell = row_.find(field);
    const std::size_t line = cell == row_.end() ? line_ : cell->second.line;
    return builder_.make_error(line, field, message);
  }

  [[nodiscard]] OptionalError parse_name(std::string& name) const {
    name = text_of_cell("name");
    if (name.empty())
      return make_error("name", "is missing");
    return std::nullopt;
  }

  [[nodiscard]] OptionalError parse_address(std::string& address) const {
    address = text_of_cell("address");
    if (address.empty())
      return make_error("address", "is missing");
    if (!net::parse_address(address))
      return make_error("address", "'" + address + "' is not a numeric address and port");
    return std::nullopt;
  }

  [[nodiscard]] OptionalError parse_group(GroupId& group) const {
    const std::string text = text_of_cell("group");
    if (text.empty())
      return make_error("group", "is missing");
    const char* const text_end = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), text_end, group);
    if (error != std::errc() || end != text_end)
      return make_error("group", "'" + text + "' is not an integer from 0 to 4294967295");
    return std::nullopt;
  }

  void parse_zone(std::string& zone) const { zone = text_of_cell("zone"); }

  [[nodiscard]] OptionalError parse_role(bool& is_primary) const {
    const std::string role = text_of_cell("role");
    if (!role.empty() && role != "primary" && role != "replica")
      return make_error("role", "'" + role + "' is neither primary nor replica");
    is_primary = role == "primary";
    return std::nullopt;
  }

  [[nodiscard]] OptionalError parse_status(EndpointStatus& status) const {
    const std::string state = text_of_cell("state");
    if (state.empty() || state == "up")
      status = EndpointStatus::Up;
    else if (state == "draining")
      status = EndpointStatus::Draining;
    else if (state == "removed")
      status = EndpointStatus::Removed;
    else
      return make_error("state", "'" + state + "' is none of up, draining and removed");
    return std::nullopt;
  }

  /// Leaves `number` unchanged if the cell is absent or empty.
  [[nodiscard]] OptionalError parse_number(const char* field, double min, double max,
                                           double& number) const {
    const std::string text = text_of_cell(field);
    if (text.empty())
      return std::nullopt;
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (*end != '\0' || !std::isfinite(value) || value < min || value > max)
      return make_error(field, "'" + text + "' is not a number from " + std::to_string(min) +
                                   " to " + std::to_string(max));
    number = value;
    return std::nullopt;
  }

private:
  [[nodiscard]] std::string text_of_cell(const char* field) const {
    const auto cell = row_.find(field);
    return cell == row_.end() ? std::string() : cell->second.text;
  }

  const EndpointListBuilder& builder_;
  const Row& row_;
  std::size_t line_;
};

OptionalError parse_weight_and_start(const RowParser& parser, Endpoint& endpoint) {
  constexpr double kMinWeight = 1e-6;
  constexpr double kMaxWeight = 1e6;
  constexpr double kMaxStartSeconds = 9e9;
  constexpr double kNanosPerSecond = 1e9;
  double weight = 1;
  if (auto error = parser.parse_number("size", kMinWeight, kMaxWeight, weight))
    return error;
  double started_seconds = 0;
  if (auto error = parser.parse_number("started", 0, kMaxStartSeconds, started_seconds))
    return error;
  endpoint.weight = weight;
  endpoint.started_at = TimePoint(to_duration(started_seconds * kNanosPerSecond));
  return std::nullopt;
}

HostLayout layout_of(const std::string& name, const Row& row) {
  HostLayout layout;
  layout.name = name;
  for (std::size_t i = 0; i < kVariables.size(); ++i) {
    const auto cell = row.find(kVariables[i]);
    layout.depths[i] = cell == row.end() ? kUnsetDepth : cell->second.depth;
  }
  return layout;
}

}  // namespace

FileError EndpointListBuilder::make_error(std::size_t line, const std::string& field,
                                          const std::string& message) const {
  return {path_, line, field, message};
}

bool EndpointListBuilder::is_column(const std::string& name) {
  static const std::set<std::string> kColumns{"name", "address", "group", "zone",
                                              "role", "state",   "size",  "started"};
  return kColumns.count(name) > 0;
}

// Parsing stops at the first error, so the order of the cells decides which error is reported.
OptionalError EndpointListBuilder::add_row(const Row& row, std::size_t line) {
  const RowParser parser(*this, row, line);
  proxy::ListedEndpoint listed;
  Endpoint& endpoint = listed.endpoint;
  if (auto error = parser.parse_name(listed.name))
    return error;
  if (!names_.insert(listed.name).second)
    return parser.make_error("name", "'" + listed.name + "' is listed twice");
  if (auto error = parser.parse_address(listed.address))
    return error;
  if (auto error = parser.parse_group(endpoint.group))
    return error;
  parser.parse_zone(endpoint.zone);
  if (auto error = parser.parse_role(endpoint.listed_as_primary))
    return error;
  if (endpoint.listed_as_primary && !groups_with_primary_.insert(endpoint.group).second)
    return parser.make_error("role",
                             "group " + std::to_string(endpoint.group) + " already has a primary");
  if (auto error = parser.parse_status(endpoint.status))
    return error;
  if (auto error = parse_weight_and_start(parser, endpoint))
    return error;
  inventory_.layout.hosts.push_back(layout_of(listed.name, row));
  inventory_.endpoints.push_back(std::move(listed));
  return std::nullopt;
}

}  // namespace gorsebeam::inventory
