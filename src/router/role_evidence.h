/// Decides from dated evidence which endpoint is the primary of its group.
#pragma once

#include "router/endpoint_table.h"
#include "router/event_context.h"

namespace gorsebeam::router {

/// The age that is assumed of evidence without a date.
constexpr Duration kAssumedEvidenceAge = 2000ms;

/// A statement about an endpoint's role.
struct RoleEvidence {
  /// Only an answer to a request ends a suspicion.
  enum class Source { Answer, Report };

  bool is_primary = false;
  TimePoint as_of{};  ///< The time for which it holds.
  Source source = Source::Report;
};

/// Changes the primary and the suspicion in an endpoint table.
class RoleTracker {
public:
  RoleTracker(const EventContext& event, EndpointTable& endpoints)
      : event_(event), endpoints_(endpoints) {}

  /// Records evidence of an endpoint's role. The newest evidence decides which is the primary.
  void record_role_evidence(EndpointState& endpoint, const RoleEvidence& evidence);

  /// Records that an endpoint failed to answer or to be reached. If it is its group's primary,
  /// writes wait until evidence shows which endpoint is the primary.
  void suspect_primary(const EndpointState& endpoint);

private:
  void change_primary(const EndpointState& endpoint, bool is_primary);

  const EventContext& event_;
  EndpointTable& endpoints_;
};

}  // namespace gorsebeam::router
