/// Policy: decides what each request does next, and starts its attempts.
#pragma once

#include "router/endpoint_selection.h"
#include "router/load_admission.h"
#include "router/rejection_policy.h"
#include "router/request_scheduler.h"
#include "router/retry_policy.h"
#include "router/router_state.h"

namespace gorsebeam::router {

/// Combines the other policies.
class Dispatcher {
public:
  Dispatcher(RouterState& state, RetryPolicy& retries, RequestScheduler& scheduler)
      : state_(state), retries_(retries), scheduler_(scheduler), rejections_(state, retries),
        admission_(state), selector_(state, admission_) {}

  /// Handles a request that has just come in.
  void accept(PendingRequest& request);

  /// Takes the request's next step: an attempt, a hedge, a final answer, or waiting.
  void dispatch(PendingRequest& request);

  /// Dispatches what waits in a group if the last time was long enough ago.
  void dispatch_waiting(GroupId id);

private:
  enum class AttemptKind { Normal, Recovery };

  void accrue_budgets(const PendingRequest& request);
  void hedge(PendingRequest& request);
  void read_from_replica(PendingRequest& request);
  void send_to_primary(PendingRequest& request);
  void discover_primary(PendingRequest& request);
  [[nodiscard]] bool can_try_discovery(const PendingRequest& request, EndpointState& endpoint);
  void await_current_replica(PendingRequest& request);
  [[nodiscard]] bool request_positions(const PendingRequest& request);
  [[nodiscard]] bool can_catch_up(const EndpointState& endpoint,
                                  const PendingRequest& request) const;
  [[nodiscard]] bool is_position_requested(const ReplicaGroup& group) const;

  /// Every attempt starts here. Returns whether it did.
  bool start_attempt(PendingRequest& request, EndpointId id, AttemptKind kind);

  RouterState& state_;
  RetryPolicy& retries_;
  RequestScheduler& scheduler_;
  RejectionPolicy rejections_;
  LoadAdmission admission_;
  EndpointSelector selector_;
};

}  // namespace gorsebeam::router
