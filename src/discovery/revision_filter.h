// What is the newest told of each member, by the revisions of the lists that told it; pure.
//
// An old list may come after a new one: on one watch, or from another agent that is behind. Within
// one count of revisions what is older than what is held of a member changes nothing of it. A count
// may also begin anew, lower than before, with another address or a discovery that was set up
// again. The two cannot be compared, so the new count is taken as it is, but for a member that was
// told to leave: it is back once it started again, or once a later list of the new count names it
// as up.
#pragma once

#include "endpoint_list.h"

#include <cstdint>
#include <map>
#include <string>

namespace gorsebeam::discovery {

class RevisionFilter {
public:
  // Bounds what is kept of members that are gone; the ones told of first are forgotten first.
  static constexpr std::size_t kGoneMost = 1024;

  void recount();  // from now on revisions are another count's: of another address

  std::int64_t revision() const { return newest_; }  // the highest of this count

  // Leaves in `list` what is new; a full one that is not the newest then tells of no member that it
  // leaves out. `first`: it is the first of its watch, where a full one with a lower revision
  // begins another count.
  void take(EndpointListDocument& list, bool first);

private:
  struct Told {
    std::uint64_t count = 0;
    std::int64_t revision = 0;
    EndpointStatus state = EndpointStatus::Up;
    Nanos started_at = 0;
    bool left_out = false;  // of a full list, and not named as leaving
  };

  bool still_leaving(const Told& told, const Endpoint& member) const;
  void forget_gone();

  std::map<std::string, Told> told_;
  std::uint64_t count_ = 0;
  std::int64_t newest_ = 0;  // of this count
};

}  // namespace gorsebeam::discovery
