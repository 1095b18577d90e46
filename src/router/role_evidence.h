/// Decides from dated evidence which endpoint is the primary of its group.
#pragma once

#include "router/endpoint_table.h"
#include "router/event_context.h"

namespace gorsebeam::router {

/// Age given to a role when its evidence bears no date.
constexpr Duration kAssumedEvidenceAge = 2000ms;

/// What something says of an endpoint's role.
struct RoleEvidence {
  /// Only an answer of the endpoint itself ends a suspicion.
  enum class Source { Answer, Report };

  bool is_primary = false;
  TimePoint as_of{};
  Source source = Source::Report;
};

/// Changes the primary and the suspicion in an endpoint table.
class RoleTracker {
public:
  RoleTracker(const EventContext& event, EndpointTable& endpoints)
      : event_(event), endpoints_(endpoints) {}

  /// Takes evidence of an endpoint's role into account: the newest decides who is primary.
  void record_role_evidence(EndpointState& endpoint, const RoleEvidence& evidence);

  /// If the endpoint is its group's primary: it failed to answer or to be reached, so writes wait
  /// until an endpoint is shown to be primary.
  void suspect_primary(const EndpointState& endpoint);

private:
  void change_primary(const EndpointState& endpoint, bool is_primary);

  const EventContext& event_;
  EndpointTable& endpoints_;
};

}  // namespace gorsebeam::router
