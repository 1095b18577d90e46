/// Policy: selects the endpoint for a read.
#pragma once

#include "router/load_admission.h"
#include "router/router_state.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace gorsebeam::router {

/// Reads that take this many times as long as reads which need current data delay a replica.
constexpr double kLongReadFactor = 2;

/// When an ejected endpoint may get a request to see whether it answers.
enum class RecoveryChoice {
  ByHashShare,  ///< No more often than the hash would assign requests to it.
  Fallback,     ///< Whenever one is due, as no other endpoint can serve the request.
};

/// Sessions hash over the admitted replicas, sorted by id, so that all routers send one session to
/// the same replica.
class EndpointSelector {
public:
  EndpointSelector(RouterState& state, LoadAdmission& admission)
      : state_(state), admission_(admission) {}

  /// The replica that gets the read, or the primary where it shares the reads; none if no endpoint
  /// is admitted.
  [[nodiscard]] std::optional<EndpointId> choose_replica(const PendingRequest& request);

  /// The ejected endpoint that gets the read as a recovery attempt, if any is due.
  [[nodiscard]] std::optional<EndpointId> choose_recovery_attempt(const PendingRequest& request,
                                                                  RecoveryChoice choice);

  /// Whether the request had an attempt at the endpoint and may not have another there.
  [[nodiscard]] bool was_attempted(const PendingRequest& request, EndpointId id) const;

private:
  using WeightedIds = std::vector<std::pair<EndpointId, double>>;

  struct Candidates {
    WeightedIds admitted;               // sorted by id
    bool has_replica = false;           // among the admitted
    std::vector<EndpointId> reachable;  // replicas that are not ejected, at any position
  };

  [[nodiscard]] Candidates collect_candidates(const PendingRequest& request,
                                              std::optional<EndpointId> long_read_replica);
  [[nodiscard]] std::optional<EndpointId> pick_by_weighted_hash(const PendingRequest& request,
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
};

}  // namespace gorsebeam::router
