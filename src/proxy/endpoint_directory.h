/// Maps names of endpoints to ids.
///
/// All gateways must order endpoints alike, so an id follows from the name: the last eight
/// characters where they are hexadecimal digits, as in discovery's names, or else a hash. If
/// another endpoint has that id, the next free one is assigned. Pure; runs on one thread; holds one
/// entry for each endpoint of the list.
#pragma once

#include "gorsebeam/router.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gorsebeam::proxy {

class EndpointDirectory {
public:
  /// Returns the id of the endpoint, which keeps it until `release_id`.
  EndpointId assign_id(const std::string& name);

  /// Removes an endpoint; its id can be assigned again. Ignored if it has no id.
  void release_id(EndpointId endpoint);

  /// All endpoints that have an id, except those in `names`.
  [[nodiscard]] std::vector<EndpointId> ids_except(const std::set<std::string>& names) const;

private:
  std::map<std::string, EndpointId> ids_;
  std::map<EndpointId, std::string> names_;
};

}  // namespace gorsebeam::proxy
