/// Policy: starts an attempt at a given endpoint, if the rules and the endpoint's slow start allow
/// it.
#pragma once

#include "router/load_admission.h"
#include "router/retry_policy.h"
#include "router/router_state.h"

namespace gorsebeam::router {

/// Why a request is sent to an endpoint.
enum class AttemptKind {
  Normal,
  Recovery,  ///< The endpoint is ejected; an answer readmits it.
};

/// Starts all attempts of the router.
class AttemptStarter {
public:
  AttemptStarter(RouterState& state, const RetryPolicy& retries, LoadAdmission& admission)
      : state_(state), retries_(retries), admission_(admission) {}

  /// Starts an attempt of the request at the endpoint, if it is allowed. Returns whether it
  /// started.
  bool start(PendingRequest& request, EndpointId id, AttemptKind kind);

private:
  RouterState& state_;
  const RetryPolicy& retries_;
  LoadAdmission& admission_;
};

}  // namespace gorsebeam::router
