/// Policy: decides how much of the load that is meant for an endpoint it gets.
#pragma once

#include "router/router_state.h"

namespace gorsebeam::router {

/// Answers may use this fraction of their latency objectives; beyond, the slow ones miss them.
constexpr double kTargetLoad = 0.35;

/// The highest power by which requests of little value are shed.
constexpr double kMaxSheddingExponent = 4;

/// Sheds load by a request's own random draw, so that a request is treated alike everywhere.
class LoadAdmission {
public:
  explicit LoadAdmission(RouterState& state) : state_(state) {}

  /// Whether the endpoint's load leaves room for the request.
  [[nodiscard]] bool admits_under_load(EndpointState& endpoint, const PendingRequest& request);

  /// Whether the endpoint's slow start leaves room for the request.
  [[nodiscard]] bool admits_during_slow_start(const EndpointState& endpoint,
                                              const PendingRequest& request);

  /// How far the endpoints of a role are from having room: 1 where answers use the target load, 0
  /// up to half of it.
  [[nodiscard]] double saturation(Role role);

  /// Whether the endpoints in this one's zone with its role answer slower than the target load.
  [[nodiscard]] bool is_pool_overloaded(const EndpointState& endpoint);

  /// The value of an answer for the work that it takes.
  [[nodiscard]] double value_per_work(const PendingRequest& request) const;

private:
  RouterState& state_;
};

}  // namespace gorsebeam::router
