/// Updates the state of endpoints and classes from the results of attempts and health checks.
#pragma once

#include "router/retry_policy.h"
#include "router/router_state.h"

namespace gorsebeam::router {

/// Passes results to the modules that hold the state of endpoints and classes.
class AttemptObserver {
public:
  AttemptObserver(RouterState& state, RetryPolicy& retries) : state_(state), retries_(retries) {}

  /// Records the role and the replication position that an endpoint reported in an answer.
  void record_answer(EndpointState& endpoint, const AttemptResult& result);

  /// Records the end of an attempt: what it shows about the endpoint, and whether it may have run.
  void record_attempt_end(EndpointState& endpoint, PendingRequest& request,
                          UpstreamAttempt& attempt, const AttemptResult& result);

  /// Records the result of a health check.
  void record_health_check(EndpointState& endpoint, const HealthCheckResult& result);

  /// Marks the attempts of a request that have become overdue.
  void mark_overdue_attempts(PendingRequest& request);

private:
  /// Records what the end of an attempt shows about the endpoint.
  void record_outcome(EndpointState& endpoint, PendingRequest& request, UpstreamAttempt& attempt,
                      const AttemptResult& result);
  void record_load_report(EndpointState& endpoint, const LoadReport& report);
  /// The time to which the role in `report` applies.
  [[nodiscard]] static TimePoint time_of_report(const LoadReport& report, TimePoint now);
  void record_success(EndpointState& endpoint, const PendingRequest& request,
                      const UpstreamAttempt& attempt, const AttemptResult& result);
  void record_misdirection(EndpointState& endpoint, const PendingRequest& request,
                           const UpstreamAttempt& attempt, const AttemptResult& result);
  void record_timeout(EndpointState& endpoint, const PendingRequest& request,
                      const UpstreamAttempt& attempt, const AttemptResult& result);
  void record_connection_failure(EndpointState& endpoint, const PendingRequest& request,
                                 UpstreamAttempt& attempt, const AttemptResult& result);
  void record_rejection(EndpointState& endpoint, PendingRequest& request);
  void record_missing_answer(EndpointState& endpoint);
  void record_load(EndpointState& endpoint, double objective_fraction);
  [[nodiscard]] bool is_read(const PendingRequest& request) const;
  [[nodiscard]] double objective_fraction(const PendingRequest& request, Duration elapsed) const;

  RouterState& state_;
  RetryPolicy& retries_;
};

}  // namespace gorsebeam::router
