#include "endpoint_list.h"

#include "net/stream.h"

namespace gorsebeam::discovery {

using settings::choose;
using settings::Reader;

EndpointListDocument read_list(const settings::Json& value, const std::string& where) {
  const Reader body(value, where);
  EndpointListDocument list;
  list.revision = body.integer("revision", 0);
  list.complete = body.truth("complete");
  for (const settings::Json& element : body.array("members").GetArray()) {
    const Reader entry(element, where + ".members");
    proxy::ListedEndpoint listed;
    listed.name = entry.text("id");
    Endpoint& member = listed.endpoint;
    member.status = choose<EndpointStatus>(entry.text("phase"), "phase",
                                           {{"ready", EndpointStatus::Up},
                                            {"draining", EndpointStatus::Draining},
                                            {"gone", EndpointStatus::Removed}});
    listed.address = entry.text("host_port", "");
    if (member.status != EndpointStatus::Removed && !net::parse_address(listed.address))
      entry.wrong("host_port", "an address and a port");
    member.group = static_cast<GroupId>(entry.integer("cell", 0));
    member.zone = entry.text("locality", "");
    member.started_at = entry.integer("up_since_ms", 0) * 1'000'000;
    member.listed_as_primary = entry.text("part", "") == "master";
    member.weight = entry.number("size", 1);
    list.members.push_back(std::move(listed));
  }
  return list;
}

}  // namespace gorsebeam::discovery
