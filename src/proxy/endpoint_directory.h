/// The numbers that stand for endpoints' names.
///
/// All gateways must order endpoints alike, so a number follows from the name: a name that ends in
/// eight hexadecimal digits, as discovery's names do, has that number, and any other name its hash.
/// Pure; holds one entry an endpoint of the list.
#pragma once

#include "gorsebeam/router.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gorsebeam::proxy {

class EndpointDirectory {
public:
  /// The number of the endpoint, which it keeps until it is forgotten.
  EndpointId assign_id(const std::string& name);

  /// Forgets an endpoint that has a number.
  void forget(EndpointId endpoint);

  /// All endpoints that have a number, except those named.
  [[nodiscard]] std::vector<EndpointId> all_but(const std::set<std::string>& names) const;

private:
  std::map<std::string, EndpointId> ids_;
  std::map<EndpointId, std::string> names_;
};

}  // namespace gorsebeam::proxy
