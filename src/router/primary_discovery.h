/// Policy: finds a group's primary while none is known or the known one does not answer.
#pragma once

#include "router/attempt_starter.h"
#include "router/endpoint_selection.h"
#include "router/load_admission.h"
#include "router/router_state.h"

#include <optional>

namespace gorsebeam::router {

/// Discovers a primary by health checks where they report roles. Where they do not, or show no
/// primary in time, one waiting request at a time is sent to an endpoint.
class PrimaryDiscovery {
public:
  PrimaryDiscovery(RouterState& state, const EndpointSelector& selector, LoadAdmission& admission,
                   AttemptStarter& starter)
      : state_(state), selector_(selector), admission_(admission), starter_(starter) {}

  /// Takes the next step of the discovery for a request that only the primary may serve.
  void discover_for(PendingRequest& request);

private:
  void check_roles(const ReplicaGroup& group);
  [[nodiscard]] bool waits_for_reports(const PendingRequest& request) const;
  [[nodiscard]] std::optional<EndpointId> choose_candidate(const PendingRequest& request);
  [[nodiscard]] bool is_candidate(const PendingRequest& request, EndpointState& endpoint);
  [[nodiscard]] bool has_evidence_since_attempt(const PendingRequest& request) const;
  [[nodiscard]] bool has_recent_evidence(const EndpointState& primary);

  RouterState& state_;
  const EndpointSelector& selector_;
  LoadAdmission& admission_;
  AttemptStarter& starter_;
};

}  // namespace gorsebeam::router
