/// Policy: selects the endpoint for a read.
#pragma once

#include "router/load_admission.h"
#include "router/router_state.h"
#include "router/slow_start_budget.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace gorsebeam::router {

/// Reads that run at least this many times as long as reads which need current data may keep a
/// replica from applying the log.
constexpr double kLongReadFactor = 2;

/// When an ejected endpoint may get a read as a recovery attempt.
enum class RecoveryChoice {
  ByHashShare,  ///< No more often than the hash would assign reads to it.
  Fallback,     ///< Whenever one is due, as no other endpoint can serve the read.
};

/// Selects among the admitted replicas, sorted by id, by a hash of the read's session, so that all
/// routers send a session's reads to the same replica.
class EndpointSelector {
public:
  EndpointSelector(RouterState& state, LoadAdmission& admission, SlowStartBudget& budget)
      : state_(state), admission_(admission), budget_(budget) {}

  /// The replica that gets the read, or the primary where saturated replicas share the reads with
  /// it; empty if no endpoint is admitted.
  /// Sets `request.waits_for` if load or a slow start kept all candidates from admitting it.
  [[nodiscard]] std::optional<EndpointId> choose_replica(PendingRequest& request);

  /// The ejected endpoint that gets the read as a recovery attempt, if any is due.
  [[nodiscard]] std::optional<EndpointId> choose_recovery_attempt(const PendingRequest& request,
                                                                  RecoveryChoice choice);

  /// Whether the request had an attempt at the endpoint and may not have another one there.
  [[nodiscard]] bool was_attempted(const PendingRequest& request, EndpointId id) const;

private:
  using WeightedIds = std::vector<std::pair<EndpointId, double>>;

  struct Candidates {
    WeightedIds admitted;               // sorted by id
    bool has_replica = false;           // whether a replica is among the admitted
    std::vector<EndpointId> reachable;  // replicas that are not ejected, at any position
  };

  [[nodiscard]] Candidates collect_candidates(const PendingRequest& request,
                                              std::optional<EndpointId> long_read_replica);
  [[nodiscard]] std::optional<EndpointId> pick_by_weighted_hash(PendingRequest& request,
                                                                WeightedIds candidates);
  [[nodiscard]] std::optional<EndpointId> most_advanced(const PendingRequest& request,
                                                        const std::vector<EndpointId>& candidates);
  [[nodiscard]] bool is_long_running(std::size_t class_index) const;
  [[nodiscard]] std::optional<EndpointId> long_read_replica(const ReplicaGroup& group) const;
  [[nodiscard]] bool is_admitted(const EndpointState& endpoint,
                                 const PendingRequest& request) const;
  [[nodiscard]] bool is_presumed_current(const EndpointState& endpoint,
                                         const PendingRequest& request) const;
  [[nodiscard]] bool can_recover(const EndpointState& endpoint,
                                 const PendingRequest& request) const;
  [[nodiscard]] double load_share(const ReplicaGroup& group, EndpointId id,
                                  bool serves_long_reads) const;

  RouterState& state_;
  LoadAdmission& admission_;
  SlowStartBudget& budget_;
};

}  // namespace gorsebeam::router
