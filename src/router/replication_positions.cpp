#include "router/replication_positions.h"

#include <algorithm>

namespace gorsebeam::router {

void advance_replication_position(EndpointTable& endpoints, EndpointState& endpoint,
                                  ReplicationPosition position, TimePoint reported_at) {
  endpoint.position_reported_at = std::max(endpoint.position_reported_at, reported_at);
  if (position <= endpoint.position)
    return;
  endpoint.position = position;
  endpoints.mark_dispatchable(endpoint.listing.group);
}

bool is_known_stale(const EndpointState& endpoint) {
  return endpoint.stale_before != kUnknownPosition && endpoint.stale_before > endpoint.position;
}

ReplicationPosition required_position(const RequestClass& request_class,
                                      const PendingRequest& request, TimePoint now) {
  switch (request_class.consistency) {
  case ConsistencyLevel::BoundedStaleness:
    return position_at(now - request_class.max_staleness);
  case ConsistencyLevel::Session:
    return request.session_token;
  case ConsistencyLevel::Strong:
    return position_at(request.arrived_at);
  case ConsistencyLevel::Eventual:
  case ConsistencyLevel::Write:
    break;
  }
  return kUnknownPosition;
}

bool is_proven_current(const EndpointState& endpoint, const RequestClass& request_class,
                       const PendingRequest& request, TimePoint now) {
  return endpoint.position != kUnknownPosition &&
         endpoint.position >= required_position(request_class, request, now);
}

}  // namespace gorsebeam::router
