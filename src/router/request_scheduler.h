/// Decides after each step of a request whether it is done, and otherwise when it is looked at
/// next.
#pragma once

#include "router/retry_policy.h"
#include "router/router_state.h"

namespace gorsebeam::router {

/// Keeps the waiting requests of each group and the timers up to date.
class RequestScheduler {
public:
  RequestScheduler(RouterState& state, RetryPolicy& retries) : state_(state), retries_(retries) {}

  /// Forgets the request if it is done; references to it then end. Else schedules its next check.
  void finish_or_rearm(PendingRequest& request);

private:
  [[nodiscard]] TimePoint next_check(const PendingRequest& request);

  RouterState& state_;
  RetryPolicy& retries_;
};

}  // namespace gorsebeam::router
