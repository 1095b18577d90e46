/// Maps names of endpoints to ids.
///
/// All gateways must order endpoints in the same way, so an id is derived from the name: if the
/// name is longer than eight characters and ends in eight lower-case hexadecimal digits, as the
/// names that discovery lists do, the id is the number that these digits form; otherwise it is a
/// hash of the name. If another endpoint has that id, the next free one is assigned. The id of an
/// endpoint that left the list stays its own while anything is known under it, as another endpoint
/// with that id would be taken for it. Performs no I/O; runs on one thread; holds one entry for
/// each endpoint of the list, and for each id that `forget_released` was told is in use.
#pragma once

#include "gorsebeam/router.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace gorsebeam::proxy {

class EndpointDirectory {
public:
  /// Returns the id of the endpoint, which keeps it until `release_id`. An endpoint that was
  /// released and is not forgotten gets the id that it had.
  EndpointId assign_id(const std::string& name);

  /// Records that an endpoint left the list. Ignored if no endpoint has the id.
  void release_id(EndpointId endpoint);

  /// Forgets the released endpoints whose id is not in use, so that it can be assigned again.
  void forget_released(const std::function<bool(EndpointId)>& is_in_use);

  /// The ids of all endpoints of the list whose name is not in `names`.
  [[nodiscard]] std::vector<EndpointId> ids_except(const std::set<std::string>& names) const;

private:
  std::map<std::string, EndpointId> ids_;
  std::map<EndpointId, std::string> names_;
  std::set<EndpointId> released_;  ///< Those of `names_` that are not in the list.
};

}  // namespace gorsebeam::proxy
