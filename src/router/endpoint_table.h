/// Holds what is known of each endpoint and replica group.
#pragma once

#include "gorsebeam/events.h"
#include "router/load_estimator.h"
#include "router/time_points.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gorsebeam::router {

/// The first backoff before an ejected endpoint gets a recovery attempt.
constexpr Duration kInitialRecoveryBackoff = 500ms;

/// What is known of one endpoint. A new entry is ejected, as a new router has no evidence of any
/// endpoint.
struct EndpointState {
  Endpoint listing;               ///< The newest entry of the endpoint list.
  TimePoint removed_at = kNever;  ///< When the list said that it was removed.
  ReplicationPosition position =
      kUnknownPosition;  ///< It has applied the log at least up to here. Never decreases.
  ReplicationPosition stale_before =
      kUnknownPosition;  ///< A misdirected read showed that it had not applied the log up to here.
  int consecutive_failures = 0;  ///< Timeouts, or connections that failed at once.
  double error_ratio = 0;        ///< The recent share of errors among its answers.
  bool is_ejected = true;        ///< Gets no reads until it answers.
  bool needs_recovery_attempt =
      false;                   ///< Ejected for a reason that a health check does not refute.
  int connection_breaks = 0;   ///< Connections refused or broken in a row, with no answer between.
  TimePoint first_break_at{};  ///< The first of them.
  bool may_have_restarted = false;    ///< Connections broke repeatedly.
  TimePoint ejected_at = kNever;      ///< When it was last ejected.
  bool has_recovery_attempt = false;  ///< One is in flight.
  bool has_health_check = false;      ///< One is in flight.
  TimePoint next_recovery_at{};       ///< No recovery attempt before this.
  Duration recovery_backoff =
      kInitialRecoveryBackoff;                    ///< The next backoff; doubles with each failure.
  TimePoint last_answer_at{};                     ///< When it last answered an attempt.
  TimePoint last_health_check_at = kUnknownTime;  ///< When the last one was sent.
  TimePoint position_reported_at = kUnknownTime;  ///< When it last reported a position.
  TimePoint role_evidence_at =
      kUnknownTime;  ///< The time for which the newest evidence of its role holds.
  TimePoint answered_as_replica_at = kUnknownTime;  ///< When it last answered that it is a replica.
  TimePoint slow_start_since = kUnknownTime;        ///< When its slow start began.
  DecayingLoad load;                                ///< Estimated from its own answers.

  /// Whether requests and health checks may be sent to it at all.
  [[nodiscard]] bool is_usable() const { return listing.status == EndpointStatus::Up; }
};

/// What is known of one replica group.
struct ReplicaGroup {
  std::vector<EndpointId> endpoints;             ///< Sorted.
  std::optional<EndpointId> primary;             ///< By the newest evidence.
  TimePoint primary_evidence_at = kUnknownTime;  ///< The time for which that evidence holds;
                                                 ///< remains when the primary becomes unknown.
  bool primary_suspected = false;  ///< It failed to answer, so writes wait.
  bool sparse_bounded_reads =
      true;  ///< They come further apart than a position remains recent enough.
  TimePoint last_bounded_read_at = kUnknownTime;
  bool is_dispatchable = false;  ///< Something changed that may allow waiting requests to be sent.
  TimePoint last_discovery_at = kUnknownTime;  ///< When a write was last sent to find the primary.
  TimePoint
      last_dispatch_at{};  ///< Dispatches are rate-limited, as thousands of requests may wait.
  std::set<std::uint64_t> waiting;  ///< Sequence numbers of requests with no attempt in flight.
};

/// Owns all endpoint states and groups. Bounded by the listed endpoints, those removed within the
/// last minute, and the groups of open requests. References stay valid until the entry is
/// forgotten.
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

  /// A group, created if it is new.
  ReplicaGroup& group(GroupId id) { return groups_[id]; }

  /// The group of an endpoint.
  ReplicaGroup& group_of(const EndpointState& endpoint) { return group(endpoint.listing.group); }

  /// Whether the endpoint is its group's primary by the newest evidence.
  [[nodiscard]] bool is_primary(const EndpointState& endpoint) {
    return group_of(endpoint).primary == endpoint.listing.id;
  }

  /// Its role by the newest evidence.
  [[nodiscard]] Role role_of(const EndpointState& endpoint) {
    return is_primary(endpoint) ? Role::Primary : Role::Replica;
  }

  /// The number of endpoints in the group that are usable and not ejected, at least 1.
  [[nodiscard]] double serving_endpoint_count(const ReplicaGroup& group) const;

  /// Records that something changed which may allow the waiting requests of a group to be sent.
  void mark_dispatchable(GroupId id);

  /// Removes and returns the group that was marked first, if any.
  [[nodiscard]] std::optional<GroupId> pop_dispatchable();

  /// Removes endpoints that were removed from the list a minute ago, except those `in_use`. Bounds
  /// memory and the work per request: replaced endpoints have new ids.
  void forget_removed(TimePoint now, const std::set<EndpointId>& in_use);

  /// Removes a group without endpoints and waiting requests. Bounds memory: clients may name groups
  /// that no list contains, and lists add and drop groups.
  void forget_group_if_unused(GroupId id);

private:
  Endpoints endpoints_;
  std::map<GroupId, ReplicaGroup> groups_;
  std::deque<GroupId> dispatchable_;
};

}  // namespace gorsebeam::router
