/// Turns results of attempts and health checks into what is known of endpoints and classes.
#pragma once

#include "router/retry_policy.h"
#include "router/router_state.h"

namespace gorsebeam::router {

/// Passes results on to the modules that keep state.
class AttemptObserver {
public:
  AttemptObserver(RouterState& state, RetryPolicy& retries) : state_(state), retries_(retries) {}

  /// An endpoint answered: what it says of its role and its position.
  void record_answer(EndpointState& endpoint, const AttemptResult& result);

  /// An attempt ended: what that says of the endpoint, and of what the request may have done.
  void record_attempt_end(EndpointState& endpoint, PendingRequest& request,
                          UpstreamAttempt& attempt, const AttemptResult& result);

  /// A health check ended.
  void record_health_check(EndpointState& endpoint, const HealthCheckResult& result);

  /// Marks those attempts of a request as overdue that have become so.
  void mark_overdue_attempts(PendingRequest& request);

private:
  void record_load_report(EndpointState& endpoint, const LoadReport& report);
  void record_success(EndpointState& endpoint, const PendingRequest& request,
                      const UpstreamAttempt& attempt, const AttemptResult& result);
  void record_misdirection(EndpointState& endpoint, const PendingRequest& request,
                           const UpstreamAttempt& attempt, const AttemptResult& result);
  void record_timeout(EndpointState& endpoint, const PendingRequest& request,
                      const UpstreamAttempt& attempt, const AttemptResult& result);
  void record_connection_failure(EndpointState& endpoint, const PendingRequest& request,
                                 UpstreamAttempt& attempt, const AttemptResult& result);
  void record_rejection(EndpointState& endpoint, PendingRequest& request);
  void record_silence(EndpointState& endpoint);
  void record_load(EndpointState& endpoint, double objective_fraction);
  [[nodiscard]] bool is_read(const PendingRequest& request) const;
  [[nodiscard]] double objective_fraction(const PendingRequest& request, Duration elapsed) const;

  RouterState& state_;
  RetryPolicy& retries_;
};

}  // namespace gorsebeam::router
