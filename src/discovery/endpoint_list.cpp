#include "endpoint_list.h"

#include "net/stream.h"

namespace gorsebeam::discovery {

using settings::JsonObjectReader;

EndpointListDocument read_list(const settings::Json& value, const std::string& where) {
  const JsonObjectReader body(value, where);
  EndpointListDocument list;
  list.revision = body.read_integer("revision", 0);
  list.complete = body.read_bool("complete");
  for (const settings::Json& element : body.require_array("members").GetArray()) {
    const JsonObjectReader entry(element, where + ".members");
    proxy::ListedEndpoint listed;
    listed.name = entry.read_string("id");
    Endpoint& member = listed.endpoint;
    member.status =
        entry.read_enum<EndpointStatus>("phase", {{"ready", EndpointStatus::Up},
                                                  {"draining", EndpointStatus::Draining},
                                                  {"gone", EndpointStatus::Removed}});
    listed.address = entry.read_string("host_port", "");
    if (member.status != EndpointStatus::Removed && !net::parse_address(listed.address))
      entry.throw_invalid("host_port", "an address and a port");
    member.group = static_cast<GroupId>(entry.read_integer("cell", 0));
    member.zone = entry.read_string("locality", "");
    member.started_at = entry.read_integer("up_since_ms", 0) * 1'000'000;
    member.listed_as_primary = entry.read_string("part", "") == "master";
    member.weight = entry.read_number("size", 1);
    list.members.push_back(std::move(listed));
  }
  return list;
}

}  // namespace gorsebeam::discovery
