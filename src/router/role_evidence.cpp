#include "router/role_evidence.h"

#include <algorithm>

namespace gorsebeam::router {

void RoleTracker::record_role_evidence(EndpointState& endpoint, const RoleEvidence& evidence) {
  // A load report can be older than the answer that contains it. It would reinstate an endpoint
  // that has just reported that it is no longer the primary.
  if (evidence.as_of < endpoint.role_evidence_at)
    return;
  endpoint.role_evidence_at = evidence.as_of;
  ReplicaGroup& group = endpoints_.group_of(endpoint);
  const bool was_primary = group.primary == endpoint.listing.id;
  if (!evidence.is_primary && !was_primary)
    return;
  const bool changes = evidence.is_primary != was_primary;
  if (changes && group.primary && evidence.as_of <= group.primary_evidence_at)
    return;
  if (changes)
    change_primary(endpoint, evidence.is_primary);
  group.primary_evidence_at = std::max(group.primary_evidence_at, evidence.as_of);
  if (evidence.source == RoleEvidence::Source::Answer)
    group.primary_suspected = false;
  endpoints_.mark_dispatchable(endpoint.listing.group);
}

void RoleTracker::change_primary(const EndpointState& endpoint, bool is_primary) {
  const EndpointId id = endpoint.listing.id;
  const GroupId group_id = endpoint.listing.group;
  ReplicaGroup& group = endpoints_.group(group_id);
  group.primary_suspected = false;
  if (is_primary) {
    event_.log(PrimaryElected{group_id, id});
    group.primary = id;
    return;
  }
  event_.log(PrimaryDemoted{group_id, id});
  group.primary.reset();
}

void RoleTracker::suspect_primary(const EndpointState& endpoint) {
  ReplicaGroup& group = endpoints_.group_of(endpoint);
  if (group.primary != endpoint.listing.id || group.primary_suspected)
    return;
  group.primary_suspected = true;
  event_.log(PrimarySuspected{endpoint.listing.group, endpoint.listing.id});
}

}  // namespace gorsebeam::router
