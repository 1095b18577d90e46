/// Policy: decides what each request does next.
#pragma once

#include "router/attempt_starter.h"
#include "router/endpoint_selection.h"
#include "router/load_admission.h"
#include "router/position_requester.h"
#include "router/primary_discovery.h"
#include "router/rejection_policy.h"
#include "router/request_scheduler.h"
#include "router/retry_policy.h"
#include "router/router_state.h"
#include "router/slow_start_budget.h"

namespace gorsebeam::router {

/// Combines the other policies into the decisions about a request.
class Dispatcher {
public:
  Dispatcher(RouterState& state, RetryPolicy& retries, RequestScheduler& scheduler)
      : state_(state), retries_(retries), scheduler_(scheduler), rejections_(state, retries),
        admission_(state), budget_(state), selector_(state, admission_, budget_),
        starter_(state, retries, budget_), positions_(state, selector_),
        discovery_(state, selector_, admission_, starter_) {}

  /// Handles a request that has just arrived.
  void accept(PendingRequest& request);

  /// Takes the request's next step: an attempt, a hedged attempt, a final answer, or none while the
  /// request waits.
  void dispatch(PendingRequest& request);

  /// Dispatches the waiting requests of a group, unless they were dispatched a short time ago.
  void dispatch_waiting(GroupId id);

private:
  void accrue_budgets(const PendingRequest& request);
  void hedge(PendingRequest& request);
  void read_from_replica(PendingRequest& request);
  void await_current_replica(PendingRequest& request);
  void send_to_primary(PendingRequest& request);
  void discover_primary(PendingRequest& request);
  void start_at_primary(PendingRequest& request, EndpointId primary);

  RouterState& state_;
  RetryPolicy& retries_;
  RequestScheduler& scheduler_;
  RejectionPolicy rejections_;
  LoadAdmission admission_;
  SlowStartBudget budget_;
  EndpointSelector selector_;
  AttemptStarter starter_;
  PositionRequester positions_;
  PrimaryDiscovery discovery_;
};

}  // namespace gorsebeam::router
