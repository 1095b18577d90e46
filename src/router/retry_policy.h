/// Policy: decides when an attempt is overdue, and whether a request may be sent again or hedged.
#pragma once

#include "router/router_state.h"

#include <cstddef>

namespace gorsebeam::router {

/// What a hedged request costs.
enum class HedgeDecision {
  None,      ///< No hedge.
  Budgeted,  ///< A hedge out of the budget.
  Free,      ///< A hedge beyond the budget, as the endpoint of the attempt was ejected.
};

/// Also holds the budget of hedges.
class RetryPolicy {
public:
  explicit RetryPolicy(RouterState& state) : state_(state) {}

  /// Adds a request's share to the budget of hedges.
  void accrue_hedge_budget();

  /// Removes one hedge from the budget.
  void spend_hedge_budget() { hedge_budget_ -= 1; }

  /// Whether a hedge may be sent now, while an attempt is in flight.
  [[nodiscard]] HedgeDecision decide_hedge(const PendingRequest& request) const;

  /// The time after which an attempt counts as a timeout of its endpoint.
  [[nodiscard]] Duration overdue_after(const PendingRequest& request, EndpointId id);

  /// Whether the request has attempts left, by the settings and its contract.
  [[nodiscard]] bool has_attempts_left(const PendingRequest& request) const;

  /// Whether another attempt cannot cause a second effect.
  [[nodiscard]] bool is_safe_to_retry(const PendingRequest& request) const;

  /// Whether the rules permit sending the request to the endpoint. Evaluated at the decision, and
  /// again right before the write.
  [[nodiscard]] bool is_attempt_allowed(const PendingRequest& request,
                                        const EndpointState& endpoint) const;

  /// As above, and whether the attempts made and in flight permit another one.
  [[nodiscard]] bool can_start_attempt(const PendingRequest& request,
                                       const EndpointState& endpoint) const;

  /// When a request that has arrived is given up.
  [[nodiscard]] TimePoint give_up_at(const PendingRequest& request) const;

  /// The time of the next retry after a primary rejected an attempt: a backoff that doubles.
  [[nodiscard]] TimePoint retry_after_rejection(const PendingRequest& request) const;

private:
  [[nodiscard]] bool can_retry_at(const PendingRequest& request,
                                  const EndpointState& endpoint) const;

  RouterState& state_;
  double hedge_budget_ = kMaxHedgeBudget;

  static constexpr double kMaxHedgeBudget = 20;  // at once: one endpoint's requests in flight
};

}  // namespace gorsebeam::router
