/// Holds all state of one router: its settings, the event that it is handling, and the modules that
/// hold state and estimates. The policies base their decisions on it.
#pragma once

#include "gorsebeam/settings.h"
#include "router/capacity_estimator.h"
#include "router/class_statistics.h"
#include "router/endpoint_table.h"
#include "router/event_context.h"
#include "router/health_check_scheduler.h"
#include "router/load_estimator.h"
#include "router/outlier_ejection.h"
#include "router/request_table.h"
#include "router/request_timers.h"
#include "router/role_evidence.h"
#include "router/session_requirements.h"

#include <cstdint>

namespace gorsebeam::router {

/// Owned by the router. The modules refer to each other, so it is neither copied nor moved.
struct RouterState {
  /// Throws std::invalid_argument, whose message names the invalid setting.
  RouterState(Settings unchecked_settings, std::uint64_t seed);
  RouterState(const RouterState&) = delete;
  RouterState& operator=(const RouterState&) = delete;

  [[nodiscard]] const RequestClass& class_of(const PendingRequest& request) const {
    return settings.classes[request.request.class_index];
  }

  /// The typical latency of the request's class, in nanoseconds.
  [[nodiscard]] double typical_latency(const PendingRequest& request) const {
    return classes.typical_latency(request.request.class_index);
  }

  /// The group of a request, created if it is new.
  [[nodiscard]] ReplicaGroup& group_of(const PendingRequest& request) {
    return endpoints.group(request.request.group);
  }

  /// The load of all endpoints with the same zone and role, decayed to the present.
  [[nodiscard]] DecayingLoad& pool_of(const EndpointState& endpoint);

  /// The endpoint's own load, decayed to the present.
  [[nodiscard]] DecayingLoad& load_of(EndpointState& endpoint) const;

  const Settings settings;
  const std::uint64_t seed;
  EventContext event;
  EndpointTable endpoints;
  RequestTable requests;
  ClassStatistics classes;
  LatencyLoadEstimator loads;
  CapacityEstimator capacities;
  RoleTracker roles;
  OutlierEjector outliers;
  HealthCheckScheduler health_checks;
  SessionRequirements sessions;
  RequestTimers timers;
};

}  // namespace gorsebeam::router
