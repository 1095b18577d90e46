/// Policy: decides when the router gives a request its final answer, and which answer.
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

  /// Rejects a request over its team's rate limit before anything is sent, with the time after
  /// which the limit admits a request. Returns whether the request was rejected.
  [[nodiscard]] bool reject_over_rate_limit(PendingRequest& request) const;

  /// Why a request without an attempt in flight can have no further attempt; empty if it can.
  [[nodiscard]] std::optional<AnswerReason> reason_to_give_up(const PendingRequest& request) const;

  /// Whether a request that needs its group's primary should wait no longer, as the primary is
  /// unknown.
  [[nodiscard]] bool cannot_find_primary_in_time(const PendingRequest& request,
                                                 const ReplicaGroup& group) const;

  /// Gives a request without an attempt in flight its final answer: rejected if it is safe to send
  /// again, otherwise failed.
  void give_up(PendingRequest& request, AnswerReason reason) const;

private:
  [[nodiscard]] bool can_reject(const PendingRequest& request) const;
  void close(PendingRequest& request, AnswerReason reason, Duration retry_after) const;

  RouterState& state_;
  const RetryPolicy& retries_;
};

}  // namespace gorsebeam::router
