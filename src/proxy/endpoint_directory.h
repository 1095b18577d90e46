/// Maps names of endpoints to ids.
///
/// All gateways must order endpoints in the same way, so an id is derived from the name: if the
/// name is longer than eight characters and ends in eight lower-case hexadecimal digits, as the
/// names that discovery lists do, the id is the number that these digits form; otherwise it is a
/// hash of the name. If another endpoint has that id, the next free one is assigned. Performs no
/// I/O; runs on one thread; holds one entry for each endpoint of the list.
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

  /// Removes an endpoint, so that its id can be assigned again. Ignored if no endpoint has the id.
  void release_id(EndpointId endpoint);

  /// The ids of all endpoints whose name is not in `names`.
  [[nodiscard]] std::vector<EndpointId> ids_except(const std::set<std::string>& names) const;

private:
  std::map<std::string, EndpointId> ids_;
  std::map<EndpointId, std::string> names_;
};

}  // namespace gorsebeam::proxy
