/// Policy: limits how many requests this router sends to an endpoint in slow start.
///
/// An endpoint in slow start fails if all routers together send it more than the overload factor
/// times its present capacity within the overload window. Each router therefore has a budget in
/// proportion to its share of what endpoints at full capacity serve (`CapacityEstimator`), whatever
/// the demand is at present. Every attempt at the endpoint uses the budget.
#pragma once

#include "router/router_state.h"

namespace gorsebeam::router {

class SlowStartBudget {
public:
  explicit SlowStartBudget(RouterState& state) : state_(state) {}

  /// Whether the endpoint's budget, if it is in slow start, has room for an attempt now.
  [[nodiscard]] bool admits(EndpointState& endpoint);

  /// Records that an attempt of the request, which has just been admitted, starts at the endpoint.
  void spend(EndpointState& endpoint, const PendingRequest& request);

private:
  [[nodiscard]] bool is_limited(const EndpointState& endpoint) const;
  void refill(EndpointState& endpoint) const;
  [[nodiscard]] double permits_per_second(const EndpointState& endpoint) const;
  [[nodiscard]] Duration validity() const;

  RouterState& state_;
};

}  // namespace gorsebeam::router
