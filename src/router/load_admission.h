/// Policy: decides which of the requests that are assigned to an endpoint are sent to it under
/// load.
#pragma once

#include "router/router_state.h"

namespace gorsebeam::router {

/// The fraction of their latency objectives that answers may take on average. At a higher mean, the
/// slower answers miss their objectives.
constexpr double kTargetLoad = 0.35;

/// The upper limit of the exponent that sets how strongly requests of low value are shed.
constexpr double kMaxSheddingExponent = 4;

/// Sheds load by the hash of a request's id, so that a request which one endpoint sheds is shed by
/// all endpoints under the same load.
class LoadAdmission {
public:
  explicit LoadAdmission(RouterState& state) : state_(state) {}

  /// Whether the endpoint's load leaves room for the request.
  [[nodiscard]] bool admits_under_load(EndpointState& endpoint, const PendingRequest& request);

  /// How close the endpoints of a role are to the target load: 0 up to half of it, 1 from the
  /// target load on, linear between.
  [[nodiscard]] double saturation(Role role);

  /// Whether the mean load of the endpoints with the same zone and role exceeds the target load.
  [[nodiscard]] bool is_pool_overloaded(const EndpointState& endpoint);

  /// The priority weight of a request divided by its typical latency.
  [[nodiscard]] double value_per_work(const PendingRequest& request) const;

private:
  RouterState& state_;
};

}  // namespace gorsebeam::router
