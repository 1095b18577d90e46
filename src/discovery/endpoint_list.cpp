#include "endpoint_list.h"

#include "net/address.h"

#include <rapidjson/document.h>

#include <utility>

namespace gorsebeam::discovery {
namespace {

EndpointStatus read_status(const settings::JsonObjectReader& entry) {
  return entry.read_enum<EndpointStatus>("phase", {{"ready", EndpointStatus::Up},
                                                   {"draining", EndpointStatus::Draining},
                                                   {"gone", EndpointStatus::Removed}});
}

proxy::ListedEndpoint parse_endpoint(const settings::JsonObjectReader& entry) {
  proxy::ListedEndpoint listed;
  listed.name = entry.read_string("id");
  Endpoint& endpoint = listed.endpoint;
  endpoint.status = read_status(entry);
  listed.address = entry.read_string("host_port", "");
  if (endpoint.status != EndpointStatus::Removed && !net::parse_address(listed.address))
    entry.throw_invalid("host_port", "a numeric address with a port from 1 to 65535");
  endpoint.group = static_cast<GroupId>(entry.read_integer("cell", 0));
  endpoint.zone = entry.read_string("locality", "");
  endpoint.started_at = TimePoint(std::chrono::milliseconds(entry.read_integer("up_since_ms", 0)));
  endpoint.listed_as_primary = entry.read_string("part", "") == "master";
  endpoint.weight = entry.read_number("size", 1);
  return listed;
}

}  // namespace

EndpointListDocument parse_endpoint_list(const settings::Json& value, const std::string& location) {
  const settings::JsonObjectReader body(value, location);
  EndpointListDocument list;
  list.revision = body.read_integer("revision", 0);
  list.complete = body.read_bool("complete");
  for (const settings::Json& element : body.require_array("members").GetArray())
    list.endpoints.push_back(
        parse_endpoint(settings::JsonObjectReader(element, location + ".members")));
  return list;
}

common::Result<EndpointListDocument, EndpointListError>
parse_endpoint_list_text(std::string_view text) {
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  if (document.HasParseError())
    return EndpointListError{"not JSON"};
  try {
    return parse_endpoint_list(document, "endpoint list");
  } catch (const settings::FormatError& error) {
    return EndpointListError{error.what()};
  }
}

}  // namespace gorsebeam::discovery
