/// Decides from dated evidence which endpoint is the primary of its group.
#pragma once

#include "router/endpoint_table.h"
#include "router/event_context.h"

namespace gorsebeam::router {

/// The assumed age of evidence that does not state its time.
constexpr Duration kAssumedEvidenceAge = 2000ms;

/// A statement about an endpoint's role.
struct RoleEvidence {
  /// Evidence from an answer to a request ends the suspicion of a primary. Evidence from a load
  /// report ends it only if it changes the group's primary.
  enum class Source { Answer, Report };

  bool is_primary = false;
  TimePoint as_of{};  ///< The time to which the statement applies.
  Source source = Source::Report;
};

/// Updates each group's primary, and whether it is suspected, in an endpoint table.
class RoleTracker {
public:
  RoleTracker(const EventContext& event, EndpointTable& endpoints)
      : event_(event), endpoints_(endpoints) {}

  /// Records evidence of an endpoint's role. The newest evidence decides which endpoint is the
  /// primary.
  void record_role_evidence(EndpointState& endpoint, const RoleEvidence& evidence);

  /// Records that an endpoint did not answer, could not be reached, or is draining or removed. If
  /// it is its group's primary, writes wait until evidence shows which endpoint is the primary.
  void suspect_primary(const EndpointState& endpoint);

private:
  void change_primary(const EndpointState& endpoint, bool is_primary);

  const EventContext& event_;
  EndpointTable& endpoints_;
};

}  // namespace gorsebeam::router
