/// Policy: decides when a request gets a final answer from the router, and which.
#pragma once

#include "router/retry_policy.h"
#include "router/router_state.h"

#include <optional>

namespace gorsebeam::router {

/// Emits every final answer that the router itself gives.
class RejectionPolicy {
public:
  RejectionPolicy(RouterState& state, const RetryPolicy& retries)
      : state_(state), retries_(retries) {}

  /// Rejects a request over its rate limit before anything is sent, with the time after which one
  /// is admitted. Returns whether it did.
  [[nodiscard]] bool reject_over_rate_limit(PendingRequest& request) const;

  /// Why a request without an attempt in flight can get no further attempt; empty if it can.
  [[nodiscard]] std::optional<AnswerReason> reason_to_give_up(const PendingRequest& request) const;

  /// Whether a request that needs its group's primary, which is unknown, should wait no longer.
  [[nodiscard]] bool cannot_find_primary_in_time(const PendingRequest& request,
                                                 const ReplicaGroup& group) const;

  /// Closes a request without an attempt in flight: rejected if it is safe to send again, else
  /// failed.
  void give_up(PendingRequest& request, AnswerReason reason) const;

private:
  [[nodiscard]] bool can_reject(const PendingRequest& request) const;
  void close(PendingRequest& request, AnswerReason reason, Duration retry_after) const;

  RouterState& state_;
  const RetryPolicy& retries_;
};

}  // namespace gorsebeam::router
