/// Decides after each step of a request whether it is finished, and otherwise when it is checked
/// next.
#pragma once

#include "router/retry_policy.h"
#include "router/router_state.h"

namespace gorsebeam::router {

/// Updates the waiting requests of each group and the check times.
class RequestScheduler {
public:
  RequestScheduler(RouterState& state, RetryPolicy& retries) : state_(state), retries_(retries) {}

  /// Removes the request if it is finished, which invalidates references to it. Otherwise schedules
  /// its next check.
  void finish_or_reschedule(PendingRequest& request);

private:
  [[nodiscard]] TimePoint next_check(const PendingRequest& request);

  RouterState& state_;
  RetryPolicy& retries_;
};

}  // namespace gorsebeam::router
