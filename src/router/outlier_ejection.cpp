#include "router/outlier_ejection.h"

#include "router/slow_start.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::router {
namespace {

// An endpoint is ejected after this many failures in a row, as a single one may be chance.
constexpr int kConsecutiveFailures = 2;

// The weight of a new sample in the error ratio, so that about the last ten answers count.
constexpr double kErrorSmoothing = 0.1;

// A replica with a higher error ratio is ejected.
constexpr double kMaxErrorRatio = 0.25;

// An endpoint that answers within this time after its first broken connection did not restart.
constexpr Duration kMinRestartTime = 300ms;

// The upper limit of the recovery backoff, as outages last seconds to tens of seconds.
constexpr Duration kMaxRecoveryBackoff = 4000ms;

}  // namespace

void OutlierEjector::eject(EndpointState& endpoint, RecoveryCondition condition,
                           EjectionReason reason) {
  roles_.suspect_primary(endpoint);
  if (condition == RecoveryCondition::Attempt)
    endpoint.needs_recovery_attempt = true;
  if (endpoint.is_ejected)
    return;
  endpoint.is_ejected = true;
  endpoint.ejected_at = event_.now;
  back_off_recovery(endpoint);
  event_.log(EndpointEjected{endpoint.listing.id, reason});
}

void OutlierEjector::readmit(EndpointState& endpoint) {
  endpoint.consecutive_failures = 0;
  const bool may_have_restarted = std::exchange(endpoint.may_have_restarted, false);
  if (!endpoint.is_ejected)
    return;
  endpoint.is_ejected = false;
  endpoint.needs_recovery_attempt = false;
  endpoint.error_ratio = 0;
  if (needs_slow_start(endpoint, may_have_restarted))
    begin_slow_start(endpoint, event_.now, SlowStartReason::AssumedRestart, settings_, event_);
  endpoints_.mark_dispatchable(endpoint.listing.group);
  event_.log(EndpointReadmitted{endpoint.listing.id});
}

// An endpoint can serve again before the list contains its restart. It is assumed to have restarted
// if its connections broke repeatedly, or if it did not answer during a long outage and returns
// without the writes of that time. An endpoint that applied the log meanwhile was only unreachable,
// because of a bad network path or expensive connections, and needs no slow start. Trade-off: an
// endpoint that hung and recovered gets less traffic than it could serve.
bool OutlierEjector::needs_slow_start(const EndpointState& endpoint,
                                      bool may_have_restarted) const {
  if (may_have_restarted)
    return true;
  const Duration outage = event_.now - endpoint.ejected_at;
  const bool applied_meanwhile = endpoint.position > position_at(endpoint.ejected_at) &&
                                 event_.now - time_of(endpoint.position) < outage / 2;
  return outage > settings_.overload_duration && endpoint.last_answer_at < endpoint.ejected_at &&
         !applied_meanwhile;
}

void OutlierEjector::record_answer(EndpointState& endpoint, const UpstreamAttempt& attempt) {
  if (attempt.is_overdue)
    return;
  endpoint.consecutive_failures = 0;
  if (!attempt.is_recovery && endpoint.needs_recovery_attempt)
    return;
  endpoint.recovery_backoff = kInitialRecoveryBackoff;
  readmit(endpoint);
}

void OutlierEjector::back_off_recovery(EndpointState& endpoint) const {
  endpoint.next_recovery_at = event_.now + endpoint.recovery_backoff;
  endpoint.recovery_backoff = std::min(2 * endpoint.recovery_backoff, kMaxRecoveryBackoff);
}

void OutlierEjector::record_timeout(EndpointState& endpoint, const UpstreamAttempt& attempt) {
  if (attempt.is_recovery)
    back_off_recovery(endpoint);
  ++endpoint.consecutive_failures;
  if (endpoint.consecutive_failures >= kConsecutiveFailures)
    eject(endpoint, RecoveryCondition::Attempt, EjectionReason::ConsecutiveTimeouts);
}

void OutlierEjector::record_success(EndpointState& endpoint) {
  endpoint.error_ratio -= kErrorSmoothing * endpoint.error_ratio;
}

void OutlierEjector::record_error(EndpointState& endpoint, const UpstreamAttempt& attempt) {
  endpoint.error_ratio += kErrorSmoothing * (1 - endpoint.error_ratio);
  if (attempt.is_recovery)
    back_off_recovery(endpoint);
  if (endpoint.error_ratio > kMaxErrorRatio && !endpoints_.is_primary(endpoint))
    eject(endpoint, RecoveryCondition::Attempt, EjectionReason::ErrorRatio);
}

bool OutlierEjector::record_connection_failure(EndpointState& endpoint,
                                               const UpstreamAttempt& attempt,
                                               ConnectionFailureKind kind) {
  if (attempt.is_recovery)
    back_off_recovery(endpoint);
  // A single broken connection may be chance: endpoints reset some connections and continue to run,
  // also while they are ejected for being slow. Two in a row eject an endpoint, as two timeouts do,
  // because all connections to an endpoint that is down break. A connection that times out ejects
  // the endpoint at once.
  const bool immediate = kind == ConnectionFailureKind::Immediate;
  if (immediate) {
    ++endpoint.connection_breaks;
    if (endpoint.connection_breaks == 1)
      endpoint.first_break_at = event_.now;
  }
  if (endpoint.connection_breaks >= kConsecutiveFailures)
    endpoint.may_have_restarted = true;
  if (immediate && !endpoint.is_ejected) {
    ++endpoint.consecutive_failures;
    if (endpoint.consecutive_failures < kConsecutiveFailures)
      return false;
  }
  eject(endpoint, RecoveryCondition::HealthCheck, EjectionReason::ConnectionFailure);
  return true;
}

void OutlierEjector::record_answer_on_connection(EndpointState& endpoint) const {
  // A restart takes at least kMinRestartTime.
  if (event_.now - endpoint.first_break_at < kMinRestartTime)
    endpoint.may_have_restarted = false;
  endpoint.connection_breaks = 0;
}

}  // namespace gorsebeam::router
