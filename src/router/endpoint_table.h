/// Holds what the router knows about each endpoint and replica group.
#pragma once

#include "gorsebeam/events.h"
#include "gorsebeam/log_messages.h"
#include "router/load_estimator.h"
#include "router/permit_bucket.h"
#include "router/time_points.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gorsebeam::router {

/// How long a newly ejected endpoint gets no recovery attempt; doubles with each failure.
constexpr Duration kInitialRecoveryBackoff = 500ms;

/// What an endpoint in slow start was sent, and may be sent.
struct SlowStartActivity {
  bool is_active = false;  ///< Its slow start has begun and its end was not logged yet.
  TimePoint window_began_at{};
  SlowStartCounts window;  ///< Since `window_began_at`.
  SlowStartCounts total;   ///< Since the slow start began.
  /// For attempts at the endpoint, during the slow start that began at `permits_since`.
  PermitBucket permits;
  TimePoint permits_since = kUnknownTime;
};

/// What the router knows about one endpoint. A new endpoint counts as ejected until it answers, as
/// nothing is known about it.
struct EndpointState {
  Endpoint listing;  ///< The newest entry of the endpoint list.
  /// When it was moved to the group that it is listed in; kUnknownTime if it has had no other.
  TimePoint moved_at = kUnknownTime;
  TimePoint removed_at = kNever;  ///< When the list marked it as removed.
  /// It has applied the log at least up to this position, which never decreases.
  ReplicationPosition position = kUnknownPosition;
  /// A misdirected read showed that it had not yet applied the log up to this position.
  ReplicationPosition stale_before = kUnknownPosition;
  int consecutive_failures = 0;  ///< Timeouts, and connections that were refused or broke at once.
  double error_ratio = 0;        ///< The fraction of errors among its recent answers.
  bool is_ejected = true;        ///< Gets no reads until it answers.
  /// Whether only the answer to a recovery attempt readmits it, as a health check proves little.
  bool needs_recovery_attempt = false;
  /// The number of connections that were refused or broke since the last answer.
  int connection_breaks = 0;
  TimePoint first_break_at{};  ///< When the first of these connections broke.
  /// Connections broke repeatedly, so it may need a slow start when it is back.
  bool may_have_restarted = false;
  TimePoint ejected_at = kNever;      ///< When it was last ejected.
  bool has_recovery_attempt = false;  ///< A recovery attempt is in flight.
  bool has_health_check = false;      ///< A health check is in flight.
  TimePoint next_recovery_at{};       ///< No recovery attempt starts before this.
  /// The next backoff before a recovery attempt; doubles with each failure.
  Duration recovery_backoff = kInitialRecoveryBackoff;
  TimePoint last_attempt_at = kUnknownTime;       ///< When an attempt at it last started.
  TimePoint last_answer_at{};                     ///< When it last answered an attempt.
  TimePoint last_health_check_at = kUnknownTime;  ///< When the last health check was sent.
  TimePoint position_reported_at = kUnknownTime;  ///< When it last reported a position.
  /// The time to which the newest evidence of its role applies.
  TimePoint role_evidence_at = kUnknownTime;
  TimePoint answered_as_replica_at = kUnknownTime;  ///< When it last answered that it is a replica.
  TimePoint slow_start_since = kUnknownTime;        ///< When its slow start began.
  SlowStartActivity slow_start;
  DecayingLoad load;  ///< Estimated from its own answers.

  /// Whether requests and health checks may be sent to it at all.
  [[nodiscard]] bool is_usable() const { return listing.status == EndpointStatus::Up; }
};

/// What the router knows about one replica group.
struct ReplicaGroup {
  std::vector<EndpointId> endpoints;  ///< Sorted.
  std::optional<EndpointId> primary;  ///< By the newest evidence.
  /// The time to which that evidence applies. Kept when the primary becomes unknown.
  TimePoint primary_evidence_at = kUnknownTime;
  /// The primary did not answer, could not be reached, or is draining or removed, so writes wait.
  bool primary_suspected = false;
  /// Whether reads with a staleness bound arrive at longer intervals than the bound, so that the
  /// positions known at one read are too old for the next.
  bool sparse_bounded_reads = true;
  TimePoint last_bounded_read_at = kUnknownTime;
  /// Whether something changed that may allow the waiting requests to be sent.
  bool is_dispatchable = false;
  /// When a request was last sent to find the primary.
  TimePoint last_discovery_at = kUnknownTime;
  /// Limits the rate of dispatches, as thousands of requests may wait.
  TimePoint last_dispatch_at{};
  std::set<std::uint64_t> waiting;  ///< Sequence numbers of requests with no attempt in flight.
};

/// Owns all endpoint states and groups. Its size is bounded by the listed endpoints, those removed
/// within the last minute, and the endpoints and groups of open requests. A reference to an
/// endpoint or a group stays valid until the table forgets it.
class EndpointTable {
public:
  using Endpoints = std::map<EndpointId, EndpointState>;

  /// The state of an endpoint, or nullptr if it is not known.
  [[nodiscard]] EndpointState* find(EndpointId id);
  [[nodiscard]] const EndpointState* find(EndpointId id) const;

  /// The state of a known endpoint.
  [[nodiscard]] EndpointState& at(EndpointId id) { return endpoints_.at(id); }

  [[nodiscard]] const EndpointState& at(EndpointId id) const { return endpoints_.at(id); }

  /// The state of an endpoint, created if it is new.
  EndpointState& find_or_create(EndpointId id) { return endpoints_[id]; }

  /// All endpoints, sorted by id.
  [[nodiscard]] Endpoints& all() { return endpoints_; }

  [[nodiscard]] const Endpoints& all() const { return endpoints_; }

  /// Adds an endpoint to the group that its listing names.
  void join_group(const EndpointState& endpoint);

  /// Removes an endpoint from the group that its listing names. The group is forgotten if that
  /// leaves it without endpoints and waiting requests.
  void leave_group(const EndpointState& endpoint);

  /// A group, created if it is new.
  ReplicaGroup& group(GroupId id) { return groups_[id]; }

  /// The group of an endpoint.
  ReplicaGroup& group_of(const EndpointState& endpoint) { return group(endpoint.listing.group); }

  /// Whether the endpoint is its group's primary by the newest evidence.
  [[nodiscard]] bool is_primary(const EndpointState& endpoint) {
    return group_of(endpoint).primary == endpoint.listing.id;
  }

  /// The endpoint's role by the newest evidence.
  [[nodiscard]] Role role_of(const EndpointState& endpoint) {
    return is_primary(endpoint) ? Role::Primary : Role::Replica;
  }

  /// The number of endpoints in the group that are usable and not ejected, at least 1.
  [[nodiscard]] double serving_endpoint_count(const ReplicaGroup& group) const;

  /// Records that something changed which may allow the waiting requests of a group to be sent.
  void mark_dispatchable(GroupId id);

  /// Returns the group that was marked first and removes its mark; empty if no group is marked.
  [[nodiscard]] std::optional<GroupId> pop_dispatchable();

  /// Forgets the endpoints that were removed from the list at least a minute ago, except those
  /// `in_use`. This bounds the memory and the work per request, as replaced endpoints have new ids.
  void forget_removed(TimePoint now, const std::set<EndpointId>& in_use);

  /// Forgets the group if it has neither endpoints nor waiting requests. This bounds the memory, as
  /// clients may name groups that no list contains, and lists add and drop groups.
  void forget_group_if_unused(GroupId id);

private:
  Endpoints endpoints_;
  std::map<GroupId, ReplicaGroup> groups_;
  std::deque<GroupId> dispatchable_;
};

}  // namespace gorsebeam::router
