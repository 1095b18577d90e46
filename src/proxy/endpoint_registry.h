/// Applies endpoint lists to the directory of ids, the invariant guard and the upstream, which must
/// know the listed endpoints before the router gets the list.
///
/// Runs on one thread. Holds one entry for each endpoint of the list, and for each other one that
/// the router still knows.
#pragma once

#include "endpoint_directory.h"
#include "interfaces.h"
#include "invariant_guard.h"
#include "listed_endpoint.h"

#include <vector>

namespace gorsebeam::proxy {

class EndpointRegistry {
public:
  /// Borrows all arguments, which must outlive the registry.
  EndpointRegistry(const Settings& settings, const Router& router, InvariantGuard& guard)
      : settings_(settings), router_(router), guard_(guard) {}

  /// Applies a list of `endpoints`, or changes to it, and returns the event for the router.
  [[nodiscard]] EndpointList
  apply(EndpointList::Kind kind, const std::vector<ListedEndpoint>& endpoints, Upstream& upstream);

private:
  void remove_unlisted(const std::vector<ListedEndpoint>& endpoints, Upstream& upstream);
  void remove(EndpointId endpoint, Upstream& upstream);

  const Settings& settings_;
  const Router& router_;
  InvariantGuard& guard_;
  EndpointDirectory directory_;
};

}  // namespace gorsebeam::proxy
