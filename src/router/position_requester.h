/// Policy: requests replication positions for a read for which no replica is known to be current.
#pragma once

#include "router/endpoint_selection.h"
#include "router/router_state.h"

namespace gorsebeam::router {

/// Requests positions by health checks.
class PositionRequester {
public:
  PositionRequester(RouterState& state, const EndpointSelector& selector)
      : state_(state), selector_(selector) {}

  /// Checks endpoints of the read's group. Returns whether a position may arrive that proves a
  /// replica current before the read must go to the primary.
  [[nodiscard]] bool request_positions(const PendingRequest& request);

private:
  [[nodiscard]] bool can_catch_up(const EndpointState& endpoint,
                                  const PendingRequest& request) const;
  [[nodiscard]] bool is_position_requested(const ReplicaGroup& group) const;

  RouterState& state_;
  const EndpointSelector& selector_;
};

}  // namespace gorsebeam::router
