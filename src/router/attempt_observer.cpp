#include "router/attempt_observer.h"

#include "router/load_admission.h"
#include "router/replication_positions.h"

#include <algorithm>

namespace gorsebeam::router {

void AttemptObserver::record_answer(EndpointState& endpoint, const AttemptResult& result) {
  const TimePoint now = state_.event.now;
  if (now - result.elapsed < endpoint.moved_at)
    return;  // it reports on the log of the endpoint's former group
  // A read that started before a change of the primary reports the old role. This role is ignored
  // if the endpoint has answered as a replica since the read started, as each such answer would
  // send all waiting writes to an endpoint that now rejects them, until their attempts are used up.
  if (result.role == Role::Replica)
    endpoint.answered_as_replica_at = now;
  const bool claims_primary =
      result.role == Role::Primary && now - result.elapsed > endpoint.answered_as_replica_at;
  if (claims_primary || result.role == Role::Replica)
    state_.roles.record_role_evidence(endpoint,
                                      {claims_primary, now, RoleEvidence::Source::Answer});
  if (result.replication_position)
    advance_replication_position(state_.endpoints, endpoint, *result.replication_position, now);
  record_load_report(endpoint, result.load_report);
}

void AttemptObserver::record_load_report(EndpointState& endpoint, const LoadReport& report) {
  const TimePoint now = state_.event.now;
  state_.outliers.record_answer_on_connection(endpoint);
  if (report.replication_position)
    advance_replication_position(state_.endpoints, endpoint, *report.replication_position, now);
  if (!report.is_primary)
    return;
  state_.roles.record_role_evidence(
      endpoint, {*report.is_primary, time_of_report(report, now), RoleEvidence::Source::Report});
}

// A primary has applied all commits, so its position is the time of the report. The position of a
// replica may lag behind by any time, so its report is not taken for older than one without.
TimePoint AttemptObserver::time_of_report(const LoadReport& report, TimePoint now) {
  const TimePoint assumed = now - kAssumedEvidenceAge;
  if (!report.replication_position)
    return assumed;
  const TimePoint position = time_of(*report.replication_position);
  return *report.is_primary ? position : std::max(position, assumed);
}

void AttemptObserver::record_attempt_end(EndpointState& endpoint, PendingRequest& request,
                                         UpstreamAttempt& attempt, const AttemptResult& result) {
  if (attempt.sent_at >= endpoint.moved_at)
    record_outcome(endpoint, request, attempt, result);
  state_.sessions.record_end(request, attempt, result, state_.event.now);
  if (may_have_run(result.status) && request.may_have_run_at == kUnknownTime) {
    request.may_have_run_at = attempt.sent_at;
    request.may_have_run_on = endpoint.listing.id;
  }
}

void AttemptObserver::record_outcome(EndpointState& endpoint, PendingRequest& request,
                                     UpstreamAttempt& attempt, const AttemptResult& result) {
  switch (result.status) {
  case AttemptStatus::Ok:
    record_success(endpoint, request, attempt, result);
    break;
  case AttemptStatus::Misdirected:
    record_misdirection(endpoint, request, attempt, result);
    break;
  case AttemptStatus::Error:
    state_.outliers.record_error(endpoint, attempt);
    break;
  case AttemptStatus::Timeout:
    record_timeout(endpoint, request, attempt, result);
    break;
  case AttemptStatus::ConnectFailed:
  case AttemptStatus::Reset:
    record_connection_failure(endpoint, request, attempt, result);
    break;
  case AttemptStatus::Rejected:
    record_rejection(endpoint, request);
    break;
  case AttemptStatus::Cancelled:
  case AttemptStatus::NotSent:
    break;
  }
}

void AttemptObserver::record_success(EndpointState& endpoint, const PendingRequest& request,
                                     const UpstreamAttempt& attempt, const AttemptResult& result) {
  if (!attempt.is_overdue)
    state_.classes.record_answer(request.request.class_index, to_double(result.elapsed));
  state_.capacities.record_answer(endpoint, state_.typical_latency(request));
  if (!state_.event.is_after_stall())
    record_load(endpoint, objective_fraction(request, result.elapsed));
  OutlierEjector::record_success(endpoint);
  // The endpoint checked the read for staleness, so its answer proves that it has applied the
  // position that the read required.
  const ReplicationPosition required = attempt.required_position;
  if (is_read(request) && state_.settings.staleness_check != StalenessCheck::None &&
      required != kUnknownPosition) {
    const TimePoint reported_at = required > endpoint.position ? attempt.sent_at : kUnknownTime;
    advance_replication_position(state_.endpoints, endpoint, required, reported_at);
  }
  state_.outliers.record_answer(endpoint, attempt);
}

void AttemptObserver::record_misdirection(EndpointState& endpoint, const PendingRequest& request,
                                          const UpstreamAttempt& attempt,
                                          const AttemptResult& result) {
  endpoint.consecutive_failures = 0;
  if (!is_read(request)) {
    if (result.role != Role::Primary)
      state_.roles.record_role_evidence(endpoint,
                                        {false, state_.event.now, RoleEvidence::Source::Answer});
    return;
  }
  if (attempt.required_position == kUnknownPosition)
    return;
  endpoint.stale_before = std::max(endpoint.stale_before, attempt.required_position);
  state_.health_checks.check(endpoint);
}

void AttemptObserver::record_timeout(EndpointState& endpoint, const PendingRequest& request,
                                     const UpstreamAttempt& attempt, const AttemptResult& result) {
  if (attempt.is_overdue)
    return;
  record_missing_answer(endpoint);
  if (result.elapsed >= retries_.overdue_after(request, endpoint.listing.id))
    state_.outliers.record_timeout(endpoint, attempt);
}

void AttemptObserver::record_connection_failure(EndpointState& endpoint,
                                                const PendingRequest& request,
                                                UpstreamAttempt& attempt,
                                                const AttemptResult& result) {
  attempt.connection_broke = true;
  // A connection that is refused at once indicates that the process is down. One that times out may
  // be due to a slow network path or a slow connection setup.
  const bool is_slow = result.status == AttemptStatus::ConnectFailed &&
                       result.elapsed >= state_.settings.connect_timeout / 2;
  if (is_slow)
    record_load(endpoint, objective_fraction(request, result.elapsed));
  const auto kind = is_slow ? ConnectionFailureKind::Slow : ConnectionFailureKind::Immediate;
  if (state_.outliers.record_connection_failure(endpoint, attempt, kind))
    state_.health_checks.check(endpoint, kHealthCheckGap, HealthCheckBudget::Exempt);
}

void AttemptObserver::record_rejection(EndpointState& endpoint, PendingRequest& request) {
  record_load(endpoint, LatencyLoadEstimator::kNoAnswerSample);
  if (state_.endpoints.is_primary(endpoint))
    request.retry_not_before = retries_.retry_after_rejection(request);
}

// An attempt without an answer indicates load only where other answers are slow or missing as well.
// Where they are fast, some answers are lost, and sending fewer requests would not help.
void AttemptObserver::record_missing_answer(EndpointState& endpoint) {
  const DecayingLoad& pool = state_.pool_of(endpoint);
  if (pool.count() < 1 || pool.exceeds(kTargetLoad))
    record_load(endpoint, LatencyLoadEstimator::kNoAnswerSample);
}

void AttemptObserver::record_load(EndpointState& endpoint, double objective_fraction) {
  DecayingLoad& pool = state_.pool_of(endpoint);
  LatencyLoadEstimator::record(endpoint.load, pool, objective_fraction, state_.event.now);
}

bool AttemptObserver::is_read(const PendingRequest& request) const {
  return state_.class_of(request).consistency != ConsistencyLevel::Write;
}

double AttemptObserver::objective_fraction(const PendingRequest& request, Duration elapsed) const {
  return ratio(elapsed, state_.class_of(request).latency_objective);
}

void AttemptObserver::record_health_check(EndpointState& endpoint,
                                          const HealthCheckResult& result) {
  endpoint.has_health_check = false;
  if (state_.event.now - result.elapsed < endpoint.moved_at)
    return;  // it reports on the log of the endpoint's former group
  const GroupId group_id = endpoint.listing.group;
  // A failed health check ejects no endpoint, as an endpoint may fail or refuse health checks while
  // it serves requests. If the endpoint is down, the connection of the next request fails.
  if (!result.succeeded) {
    state_.endpoints.mark_dispatchable(group_id);
    return;
  }
  record_load_report(endpoint, result.load_report);
  if (endpoint.needs_recovery_attempt)
    return;
  // A primary that accepts a new connection and reports its role is still the primary, so after a
  // broken connection writes need not wait for a discovery of the primary. After timeouts only an
  // answer to a request ends the suspicion, as a health check proves little.
  ReplicaGroup& group = state_.endpoints.group(group_id);
  if (group.primary == endpoint.listing.id && result.load_report.is_primary.value_or(false))
    group.primary_suspected = false;
  state_.outliers.readmit(endpoint);
  state_.endpoints.mark_dispatchable(group_id);
}

void AttemptObserver::mark_overdue_attempts(PendingRequest& request) {
  if (state_.event.is_after_stall())
    return;
  for (UpstreamAttempt& attempt : request.attempts) {
    if (!attempt.in_flight || attempt.is_overdue)
      continue;
    const Duration age = state_.event.now - attempt.sent_at;
    if (age < retries_.overdue_after(request, attempt.endpoint))
      continue;
    attempt.is_overdue = true;
    state_.classes.record_overdue(request.request.class_index);
    EndpointState& endpoint = state_.endpoints.at(attempt.endpoint);
    record_missing_answer(endpoint);
    state_.outliers.record_timeout(endpoint, attempt);
  }
}

}  // namespace gorsebeam::router
