#include "list.h"

#include "net/stream.h"

namespace gorsebeam::discovery {

using settings::choose;
using settings::Reader;

List read_list(const settings::Json& value, const std::string& where) {
  const Reader body(value, where);
  List list;
  list.revision = body.integer("revision", 0);
  list.complete = body.truth("complete");
  for (const settings::Json& element : body.array("members").GetArray()) {
    const Reader entry(element, where + ".members");
    broker::Listed listed;
    listed.name = entry.text("id");
    Member& member = listed.member;
    member.state = choose<MemberState>(entry.text("phase"), "phase",
                                       {{"ready", MemberState::Up},
                                        {"draining", MemberState::Draining},
                                        {"gone", MemberState::Removed}});
    listed.address = entry.text("host_port", "");
    if (member.state != MemberState::Removed && !net::parse_address(listed.address))
      entry.wrong("host_port", "an address and a port");
    member.group = static_cast<GroupId>(entry.integer("cell", 0));
    member.zone = entry.text("locality", "");
    member.started_at = entry.integer("up_since_ms", 0) * 1'000'000;
    member.primary = entry.text("part", "") == "master";
    member.size = entry.number("size", 1);
    list.members.push_back(std::move(listed));
  }
  return list;
}

}  // namespace gorsebeam::discovery
