/// Applies the endpoint list and its changes to the endpoint table.
#pragma once

#include "gorsebeam/events.h"
#include "router/router_state.h"

namespace gorsebeam::router {

/// Applies lists as they arrive, and schedules the polls of the list where discovery is polled.
class EndpointListUpdater {
public:
  explicit EndpointListUpdater(RouterState& state) : state_(state) {}

  /// Applies a cached or full list or a delta, or schedules a repeat of a failed poll.
  void apply(const EndpointList& list);

private:
  void apply_entry(const Endpoint& entry, const EndpointList& list);
  void begin_listed_slow_start(EndpointState& endpoint, EndpointList::Kind kind);
  void move_to_group(EndpointState& endpoint, GroupId group);
  void record_listed_primary(EndpointState& endpoint, EndpointList::Kind kind);
  void exclude(EndpointState& endpoint, EndpointStatus previous, EndpointStatus status);
  void log_exclusion(EndpointId id, EndpointStatus status) const;

  RouterState& state_;
  TimePoint last_list_at_ = kUnknownTime;  ///< When the last list or change came from discovery.
};

}  // namespace gorsebeam::router
