/// Policy: starts an attempt at a given endpoint, if the rules and the endpoint's slow start allow
/// it.
#pragma once

#include "router/retry_policy.h"
#include "router/router_state.h"
#include "router/slow_start_budget.h"

namespace gorsebeam::router {

/// Why a request is sent to an endpoint.
enum class AttemptKind {
  Normal,
  Recovery,  ///< The endpoint is ejected; an answer readmits it.
};

/// Starts all attempts of the router.
class AttemptStarter {
public:
  AttemptStarter(RouterState& state, const RetryPolicy& retries, SlowStartBudget& budget)
      : state_(state), retries_(retries), budget_(budget) {}

  /// Starts an attempt of the request at the endpoint, if it is allowed. Returns whether it
  /// started.
  bool start(PendingRequest& request, EndpointId id, AttemptKind kind);

private:
  RouterState& state_;
  const RetryPolicy& retries_;
  SlowStartBudget& budget_;
};

}  // namespace gorsebeam::router
