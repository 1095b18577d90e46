/// Policy: decides when an attempt is overdue, and whether a request may be retried or hedged.
#pragma once

#include "router/router_state.h"

#include <cstddef>

namespace gorsebeam::router {

/// Whether a request is hedged, and whether the hedge counts against the budget.
enum class HedgeDecision {
  None,      ///< No hedge.
  Budgeted,  ///< A hedge that counts against the budget.
  Free,      ///< A hedge outside the budget, as the endpoint of the attempt was ejected.
};

/// Applies the rules for retries and hedged requests, and holds the budget for hedged requests.
class RetryPolicy {
public:
  explicit RetryPolicy(RouterState& state) : state_(state) {}

  /// Adds a request's share to the budget for hedged requests.
  void accrue_hedge_budget();

  /// Removes one hedged request from the budget.
  void spend_hedge_budget() { hedge_budget_ -= 1; }

  /// Whether a hedge may be sent now, while an attempt is in flight.
  [[nodiscard]] HedgeDecision decide_hedge(const PendingRequest& request) const;

  /// How long after its start an attempt of the request at the endpoint is overdue.
  [[nodiscard]] Duration overdue_after(const PendingRequest& request, EndpointId id);

  /// Whether the request has attempts left, by the settings and its contract.
  [[nodiscard]] bool has_attempts_left(const PendingRequest& request) const;

  /// Whether another attempt is certain not to cause a second effect.
  [[nodiscard]] bool is_safe_to_retry(const PendingRequest& request) const;

  /// Whether the rules allow sending the request to the endpoint. Evaluated when an attempt is
  /// decided, and again right before it is written.
  [[nodiscard]] bool is_attempt_allowed(const PendingRequest& request,
                                        const EndpointState& endpoint) const;

  /// Whether `is_attempt_allowed`, and the attempts made and in flight allow another one.
  [[nodiscard]] bool can_start_attempt(const PendingRequest& request,
                                       const EndpointState& endpoint) const;

  /// The time at which the router gives up a request that has arrived.
  [[nodiscard]] TimePoint give_up_at(const PendingRequest& request) const;

  /// The earliest time of a retry after a primary rejected an attempt. The backoff doubles with
  /// each attempt.
  [[nodiscard]] TimePoint retry_after_rejection(const PendingRequest& request) const;

private:
  [[nodiscard]] bool can_retry_at(const PendingRequest& request,
                                  const EndpointState& endpoint) const;

  RouterState& state_;
  double hedge_budget_ = kMaxHedgeBudget;

  // The hedged requests that may be sent at once: as many as one endpoint has requests in flight.
  static constexpr double kMaxHedgeBudget = 20;
};

}  // namespace gorsebeam::router
