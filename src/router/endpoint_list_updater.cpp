#include "router/endpoint_list_updater.h"

#include "router/slow_start.h"

#include <algorithm>
#include <set>
#include <vector>

namespace gorsebeam::router {
namespace {

// The time after which a failed poll is repeated.
constexpr Duration kPollRetryGap = 1000ms;

// A list contains a start at most this long after it.
constexpr Duration kMaxListDelay = 60'000ms;

}  // namespace

void EndpointListUpdater::apply(const EndpointList& list) {
  const TimePoint now = state_.event.now;
  const bool polls = state_.settings.discovery_mode == DiscoveryMode::Poll;
  if (list.kind == EndpointList::Kind::Failed) {
    if (polls)
      state_.timers.schedule_list_poll(now + kPollRetryGap);
    return;
  }
  if (polls && list.kind == EndpointList::Kind::Cached)
    state_.timers.schedule_list_poll(now);
  std::set<EndpointId> listed;
  for (const Endpoint& entry : list.endpoints) {
    listed.insert(entry.id);
    apply_entry(entry, list);
  }
  if (list.kind != EndpointList::Kind::Delta) {
    for (auto& [id, endpoint] : state_.endpoints.all()) {
      if (listed.count(id) == 0)
        exclude(endpoint, endpoint.listing.status, EndpointStatus::Removed);
    }
  }
  if (list.kind != EndpointList::Kind::Cached)
    last_list_at_ = now;
  state_.endpoints.forget_removed(now, state_.requests.endpoints_in_use());
}

void EndpointListUpdater::apply_entry(const Endpoint& entry, const EndpointList& list) {
  const bool is_new = state_.endpoints.find(entry.id) == nullptr;
  if (is_new && entry.status == EndpointStatus::Removed)
    return;
  EndpointState& endpoint = state_.endpoints.find_or_create(entry.id);
  const bool is_moved = !is_new && entry.group != endpoint.listing.group;
  if (is_moved)
    move_to_group(endpoint, entry.group);
  const TimePoint previous_start = endpoint.listing.started_at;
  const EndpointStatus previous_status = endpoint.listing.status;
  const bool was_listed_as_primary = endpoint.listing.listed_as_primary;
  endpoint.listing = entry;
  if (is_new)
    state_.endpoints.join_group(endpoint);
  const bool has_restarted = is_new || entry.started_at != previous_start;
  if (entry.started_at > TimePoint{} && has_restarted)
    begin_listed_slow_start(endpoint, list.kind);
  if (entry.status != EndpointStatus::Up) {
    exclude(endpoint, previous_status, entry.status);
    return;
  }
  endpoint.removed_at = kNever;
  if (entry.listed_as_primary && (is_new || is_moved || !was_listed_as_primary))
    record_listed_primary(endpoint, list.kind);
  if (is_new || is_moved)
    state_.health_checks.check_new_endpoint(endpoint, list.endpoints.size());
  state_.endpoints.mark_dispatchable(entry.group);
}

// Starts are in wall-clock time, and the clock that they were read from may have been changed. A
// start in the future, or one that earlier lists must have contained, cannot be right: the endpoint
// counts as just started, as its age is unknown.
void EndpointListUpdater::begin_listed_slow_start(EndpointState& endpoint,
                                                  EndpointList::Kind kind) {
  const TimePoint now = state_.event.now;
  const TimePoint listed = endpoint.listing.started_at;
  const bool follows_lists = kind != EndpointList::Kind::Cached && last_list_at_ != kUnknownTime;
  const bool is_too_old = follows_lists && listed < last_list_at_ - kMaxListDelay;
  const TimePoint since = listed > now || is_too_old ? now : listed;
  begin_slow_start(endpoint, since, SlowStartReason::ListedStart, state_.settings, state_.event);
}

// What is known about the endpoint's data belongs to the log of the group that it leaves: like a
// new endpoint, it gets no reads until it answers. What is known about its process stays valid.
void EndpointListUpdater::move_to_group(EndpointState& endpoint, GroupId group) {
  state_.event.log(EndpointMoved{endpoint.listing.id, endpoint.listing.group, group});
  state_.endpoints.leave_group(endpoint);
  endpoint.listing.group = group;
  endpoint.moved_at = state_.event.now;
  if (!endpoint.is_ejected)
    endpoint.ejected_at = kNever;
  endpoint.is_ejected = true;
  endpoint.position = kUnknownPosition;
  endpoint.stale_before = kUnknownPosition;
  endpoint.position_reported_at = kUnknownTime;
  endpoint.role_evidence_at = kUnknownTime;
  endpoint.answered_as_replica_at = kUnknownTime;
  state_.endpoints.join_group(endpoint);
}

// The primary that the list names is used only while none is known. If the list is cached, it
// counts as the oldest possible evidence.
void EndpointListUpdater::record_listed_primary(EndpointState& endpoint, EndpointList::Kind kind) {
  if (state_.settings.listed_role == ListedRole::None ||
      state_.endpoints.group_of(endpoint).primary)
    return;
  const bool is_cached = kind == EndpointList::Kind::Cached;
  const TimePoint as_of =
      is_cached ? TimePoint(kUnknownTime + 1ns) : state_.event.now - kAssumedEvidenceAge;
  state_.roles.record_role_evidence(endpoint, {true, as_of, RoleEvidence::Source::Report});
}

// Where removed endpoints may serve, an endpoint that was up when it was removed from the list is
// assumed to be running: lists lose entries and regain them while the endpoints serve, and
// connections to an endpoint that is not running fail.
void EndpointListUpdater::exclude(EndpointState& endpoint, EndpointStatus previous,
                                  EndpointStatus status) {
  const bool was_up = previous == EndpointStatus::Up;
  const bool is_removed = status == EndpointStatus::Removed;
  if (state_.settings.removed_endpoints_may_serve && is_removed && was_up) {
    endpoint.listing.status = EndpointStatus::Up;
    return;
  }
  if (was_up)
    log_exclusion(endpoint.listing.id, status);
  endpoint.listing.status = status;
  endpoint.removed_at = is_removed ? std::min(endpoint.removed_at, state_.event.now) : kNever;
  state_.roles.suspect_primary(endpoint);
  state_.endpoints.mark_dispatchable(endpoint.listing.group);
}

void EndpointListUpdater::log_exclusion(EndpointId id, EndpointStatus status) const {
  if (status == EndpointStatus::Draining)
    state_.event.log(EndpointDraining{id});
  else
    state_.event.log(EndpointRemoved{id});
}

}  // namespace gorsebeam::router
