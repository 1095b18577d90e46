/// Ejects endpoints that fail and readmits those that answer. Works as a circuit breaker for each
/// endpoint: closed, open while ejected, half-open while a recovery attempt is in flight.
#pragma once

#include "gorsebeam/settings.h"
#include "router/endpoint_table.h"
#include "router/event_context.h"
#include "router/request_table.h"
#include "router/role_evidence.h"

namespace gorsebeam::router {

/// What ends an ejection.
enum class RecoveryCondition {
  HealthCheck,  ///< A health check or any answer.
  Attempt,      ///< Only the answer to a recovery attempt, as a health check proves little.
};

/// How a connection failed.
enum class ConnectionFailureKind {
  Immediate,  ///< Refused or broken at once: the process may be down.
  Slow,       ///< Timed out: the network path or the connection setup may be slow.
};

/// Updates the failure counts and ejections in an endpoint table.
class OutlierEjector {
public:
  OutlierEjector(const EventContext& event, const Settings& settings, EndpointTable& endpoints,
                 RoleTracker& roles)
      : event_(event), settings_(settings), endpoints_(endpoints), roles_(roles) {}

  /// Ejects the endpoint until `condition` is met, and suspects it if it is its group's primary.
  void eject(EndpointState& endpoint, RecoveryCondition condition, EjectionReason reason);

  /// Ends the ejection, if there is one. Puts the endpoint into slow start if it may have
  /// restarted.
  void readmit(EndpointState& endpoint);

  /// Records an answered attempt, unless it was overdue: resets the count of failures. Also resets
  /// the backoff and readmits the endpoint, unless only a recovery attempt can readmit it.
  void record_answer(EndpointState& endpoint, const UpstreamAttempt& attempt);

  /// Postpones the next recovery attempt by the backoff, and doubles the backoff.
  void back_off_recovery(EndpointState& endpoint) const;

  /// Records an attempt that timed out.
  void record_timeout(EndpointState& endpoint, const UpstreamAttempt& attempt);

  /// Records a successful attempt, which lowers the error ratio.
  static void record_success(EndpointState& endpoint);

  /// Records an attempt that was answered with an error.
  void record_error(EndpointState& endpoint, const UpstreamAttempt& attempt);

  /// Records a connection that failed or broke. Returns whether that was reason to eject the
  /// endpoint.
  [[nodiscard]] bool record_connection_failure(EndpointState& endpoint,
                                               const UpstreamAttempt& attempt,
                                               ConnectionFailureKind kind);

  /// Records an answer, which resets the count of broken connections.
  void record_answer_on_connection(EndpointState& endpoint) const;

private:
  [[nodiscard]] bool needs_slow_start(const EndpointState& endpoint, bool may_have_restarted) const;

  const EventContext& event_;
  const Settings& settings_;
  EndpointTable& endpoints_;
  RoleTracker& roles_;
};

}  // namespace gorsebeam::router
