/// Applies the endpoint list and its changes to the endpoint table.
#pragma once

#include "gorsebeam/events.h"
#include "router/router_state.h"

namespace gorsebeam::router {

/// Also schedules polls of the list, where it is polled.
class EndpointListUpdater {
public:
  explicit EndpointListUpdater(RouterState& state) : state_(state) {}

  /// Applies a list, a change or a failed poll.
  void apply(const EndpointList& list);

private:
  void apply_entry(const Endpoint& entry, const EndpointList& list);
  void record_listed_primary(EndpointState& endpoint, EndpointList::Kind kind);
  void mark_leaving(EndpointState& endpoint, EndpointStatus status);

  RouterState& state_;
};

}  // namespace gorsebeam::router
