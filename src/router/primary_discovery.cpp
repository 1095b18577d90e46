#include "router/primary_discovery.h"

namespace gorsebeam::router {
namespace {

// The shortest time between two requests that are sent to find a group's primary.
constexpr Duration kDiscoveryInterval = kHealthCheckGap;

// A position that an endpoint reported within this time is recent evidence that it is running.
constexpr Duration kRecentEvidenceAge = 4 * kHealthCheckGap;

}  // namespace

// Where health checks report roles, all endpoints of the group are checked, and a request waits for
// their reports for kHealthCheckGap. After that, and where no roles are reported, one waiting
// request at a time is sent to the endpoints, the one with the highest replication position first:
// an endpoint that is not the primary refuses a write without executing it. Each such attempt
// counts against the request's limit of attempts.
void PrimaryDiscovery::discover_for(PendingRequest& request) {
  ReplicaGroup& group = state_.group_of(request);
  check_roles(group);
  if (waits_for_reports(request))
    return;
  const TimePoint now = state_.event.now;
  if (now - kDiscoveryInterval < group.last_discovery_at)
    return;
  const std::optional<EndpointId> candidate = choose_candidate(request);
  if (!candidate)
    return;
  group.last_discovery_at = now;
  starter_.start(request, *candidate, AttemptKind::Normal);
}

void PrimaryDiscovery::check_roles(const ReplicaGroup& group) {
  const bool reports_contain_roles = state_.settings.load_reports_contain_roles;
  for (const EndpointId id : group.endpoints) {
    EndpointState& endpoint = state_.endpoints.at(id);
    if (reports_contain_roles || endpoint.is_ejected)
      state_.health_checks.check(endpoint, 2 * kHealthCheckGap, HealthCheckBudget::Exempt);
  }
}

bool PrimaryDiscovery::waits_for_reports(const PendingRequest& request) const {
  const bool reports_contain_roles = state_.settings.load_reports_contain_roles &&
                                     state_.settings.load_report_source != LoadReportSource::None;
  return reports_contain_roles && state_.event.now - request.arrived_at < kHealthCheckGap;
}

std::optional<EndpointId> PrimaryDiscovery::choose_candidate(const PendingRequest& request) {
  std::optional<EndpointId> most_advanced;
  for (const EndpointId id : state_.group_of(request).endpoints) {
    EndpointState& endpoint = state_.endpoints.at(id);
    if (!is_candidate(request, endpoint))
      continue;
    if (!most_advanced || endpoint.position > state_.endpoints.at(*most_advanced).position)
      most_advanced = id;
  }
  return most_advanced;
}

bool PrimaryDiscovery::is_candidate(const PendingRequest& request, EndpointState& endpoint) {
  const EndpointId id = endpoint.listing.id;
  const bool is_primary = state_.group_of(request).primary == id;
  const bool is_live_primary = is_primary && has_recent_evidence(endpoint);
  if (!endpoint.is_usable())
    return false;
  const bool is_backing_off = endpoint.is_ejected && state_.event.now < endpoint.next_recovery_at;
  if (is_backing_off && !is_live_primary)
    return false;
  if (is_primary && has_evidence_since_attempt(request))
    return true;
  return !selector_.was_attempted(request, id);
}

// The primary may get a request a second time if evidence since the last attempt shows that it is
// still the primary, as it may have broken one connection and continue to serve. Otherwise the
// write would never succeed, as no other endpoint accepts it.
bool PrimaryDiscovery::has_evidence_since_attempt(const PendingRequest& request) const {
  return !request.attempts.empty() &&
         state_.group_of(request).primary_evidence_at > request.attempts.back().sent_at;
}

// If an ejected primary reports its position to health checks and other answers are fast, it is
// running and only some of its answers were lost. It gets writes at once, as its recovery backoff
// would withhold them for seconds. A primary that hangs reports no position, and one whose answers
// are all slow may be overloaded.
bool PrimaryDiscovery::has_recent_evidence(const EndpointState& primary) {
  return primary.position_reported_at > state_.event.now - kRecentEvidenceAge &&
         !admission_.is_pool_overloaded(primary);
}

}  // namespace gorsebeam::router
