#include "router/endpoint_selection.h"

#include "router/hashing.h"
#include "router/replication_positions.h"
#include "router/slow_start.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace gorsebeam::router {
namespace {

// Stands for no endpoint: the id that `EndpointId` reserves.
constexpr EndpointId kNoEndpoint = std::numeric_limits<EndpointId>::max();

bool needs_current_data(const RequestClass& request_class) {
  return request_class.consistency == ConsistencyLevel::BoundedStaleness ||
         request_class.consistency == ConsistencyLevel::Session;
}

bool only_primary_serves(const RequestClass& request_class) {
  return request_class.consistency == ConsistencyLevel::Write ||
         request_class.consistency == ConsistencyLevel::Strong;
}

}  // namespace

// A read whose connection broke at every endpoint must not wait while all of them are running.
// Once it had as many attempts as there are endpoints that can serve it, it may be sent again to an
// endpoint whose connection broke.
bool EndpointSelector::was_attempted(const PendingRequest& request, EndpointId id) const {
  const ReplicaGroup& group = state_.group_of(request);
  for (const UpstreamAttempt& attempt : request.attempts) {
    if (attempt.endpoint != id)
      continue;
    if (!attempt.connection_broke)
      return true;
    const std::size_t unavailable = group.primary_suspected ? 1 : 0;
    const auto round = static_cast<double>(request.attempts.size() + unavailable);
    if (round < state_.endpoints.serving_endpoint_count(group))
      return true;
  }
  return false;
}

// Reads that any endpoint may serve and that run far longer than the reads which need current data
// may keep a replica from applying the log. All of them go to one replica, the same at every
// router. It serves other reads only while it is proven current. Long reads that it does not admit
// go to the primary. Trade-off: their latency rises if they are more than one machine can serve.
bool EndpointSelector::is_long_running(std::size_t class_index) const {
  const std::vector<RequestClass>& classes = state_.settings.classes;
  if (classes[class_index].consistency != ConsistencyLevel::Eventual)
    return false;
  const double typical_latency = state_.classes.typical_latency(class_index);
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (needs_current_data(classes[i]) &&
        typical_latency < kLongReadFactor * state_.classes.typical_latency(i))
      return false;
  }
  return true;
}

std::optional<EndpointId> EndpointSelector::long_read_replica(const ReplicaGroup& group) const {
  bool has_long_reads = false;
  for (std::size_t i = 0; i < state_.settings.classes.size(); ++i)
    has_long_reads |= is_long_running(i);
  if (!has_long_reads)
    return std::nullopt;
  std::optional<EndpointId> best;
  for (const EndpointId id : group.endpoints) {
    const EndpointState& endpoint = state_.endpoints.at(id);
    if (!endpoint.is_usable() || endpoint.is_ejected || group.primary == id)
      continue;
    if (slow_start_capacity(endpoint, state_.settings, state_.event.now) < 1)
      continue;
    if (!best || mix_hash(id) > mix_hash(*best))
      best = id;
  }
  return best;
}

// An endpoint is admitted if it is not ejected, and proven to be current where the read needs that.
bool EndpointSelector::is_admitted(const EndpointState& endpoint,
                                   const PendingRequest& request) const {
  if (endpoint.is_ejected)
    return false;
  const RequestClass& request_class = state_.class_of(request);
  if (request_class.consistency == ConsistencyLevel::Eventual)
    return true;
  return needs_current_data(request_class) &&
         is_proven_current(endpoint, request_class, request, state_.event.now);
}

// Where endpoints themselves check reads for staleness, a replica whose known position is too old
// to prove it current is presumed current, unless a misdirected read, or its lag when it last
// reported a position, shows otherwise. The replica's own check protects the read from stale data.
// This also lets replicas serve while their health checks fail. Trade-off: the read is misdirected
// if the replica does lag.
bool EndpointSelector::is_presumed_current(const EndpointState& endpoint,
                                           const PendingRequest& request) const {
  if (state_.settings.staleness_check == StalenessCheck::None || endpoint.is_ejected ||
      is_known_stale(endpoint))
    return false;
  const RequestClass& request_class = state_.class_of(request);
  if (request_class.consistency == ConsistencyLevel::Session)
    return true;
  if (request_class.consistency != ConsistencyLevel::BoundedStaleness)
    return false;
  return endpoint.position_reported_at == kUnknownTime ||
         endpoint.position_reported_at - time_of(endpoint.position) <= request_class.max_staleness;
}

// An endpoint's weight in the division of the reads is its even share of all work less the work
// that only this endpoint can do. So the replica that gets the long reads gets fewer others, and so
// does the primary, which shares the reads once replicas are saturated. Trade-off: the load is
// uneven where other routers have another mix of requests.
double EndpointSelector::load_share(const ReplicaGroup& group, EndpointId id,
                                    bool serves_long_reads) const {
  const bool is_primary = group.primary == id;
  double all = 0;
  double own = 0;
  for (std::size_t i = 0; i < state_.settings.classes.size(); ++i) {
    const double work = state_.classes.traffic(i) * state_.classes.typical_latency(i);
    all += work;
    if (is_primary ? only_primary_serves(state_.settings.classes[i])
                   : serves_long_reads && is_long_running(i))
      own += work;
  }
  return std::max(0.0, all - own * state_.endpoints.serving_endpoint_count(group));
}

std::optional<EndpointId> EndpointSelector::pick_by_weighted_hash(PendingRequest& request,
                                                                  WeightedIds candidates) {
  std::uint64_t hash = request.affinity_hash;
  while (!candidates.empty()) {
    double sum = 0;
    for (const auto& [id, weight] : candidates)
      sum += weight;
    double point = unit_interval(hash) * sum;
    std::size_t picked = 0;
    while (picked + 1 < candidates.size()) {
      point -= candidates[picked].second;
      if (!(point >= 0))
        break;
      ++picked;
    }
    EndpointState& endpoint = state_.endpoints.at(candidates[picked].first);
    if (!admission_.admits_under_load(endpoint, request))
      request.waits_for = WaitReason::Load;
    else if (!budget_.admits(endpoint))
      request.waits_for = WaitReason::SlowStart;
    else
      return endpoint.listing.id;
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(picked));
    hash = mix_hash(hash);
  }
  return std::nullopt;
}

bool EndpointSelector::can_recover(const EndpointState& endpoint,
                                   const PendingRequest& request) const {
  const TimePoint now = state_.event.now;
  if (!endpoint.is_ejected || endpoint.has_health_check || endpoint.has_recovery_attempt ||
      now < endpoint.next_recovery_at || !endpoint.is_usable())
    return false;
  const RequestClass& request_class = state_.class_of(request);
  return request_class.consistency == ConsistencyLevel::Eventual ||
         state_.settings.staleness_check != StalenessCheck::None ||
         endpoint.position >= required_position(request_class, request, now);
}

// A health check is not enough to readmit endpoints: it may fail, exceed the budget, or prove
// little after timeouts or errors. Therefore one idempotent read at a time is sent to the endpoint,
// after a backoff that doubles with each failure; this also serves the first reads of a new router.
// The endpoint gets no more reads than the hash would assign to it, unless no other endpoint is
// left: many routers, each without knowledge of the others, would overload an endpoint that has
// just started.
std::optional<EndpointId> EndpointSelector::choose_recovery_attempt(const PendingRequest& request,
                                                                    RecoveryChoice choice) {
  if (state_.class_of(request).idempotency != Idempotency::Idempotent || !request.attempts.empty())
    return std::nullopt;
  std::vector<EndpointId> slots;
  for (const EndpointId id : state_.group_of(request).endpoints) {
    if (can_recover(state_.endpoints.at(id), request))
      slots.push_back(id);
    else if (choice == RecoveryChoice::ByHashShare)
      slots.push_back(kNoEndpoint);
  }
  if (slots.empty())
    return std::nullopt;
  const EndpointId id = slots[mix_hash(request.id_hash) % slots.size()];
  if (id == kNoEndpoint)
    return std::nullopt;
  return id;
}

EndpointSelector::Candidates
EndpointSelector::collect_candidates(const PendingRequest& request,
                                     std::optional<EndpointId> long_read_replica) {
  const ReplicaGroup& group = state_.group_of(request);
  Candidates candidates;
  for (const EndpointId id : group.endpoints) {
    const EndpointState& endpoint = state_.endpoints.at(id);
    if (!endpoint.is_usable() || endpoint.is_ejected || was_attempted(request, id))
      continue;
    const bool serves_long_reads = long_read_replica == id;
    const double share = load_share(group, id, serves_long_reads);
    if (group.primary == id) {
      const double weight = share * admission_.saturation(Role::Replica);
      if (!group.primary_suspected && weight > 0)
        candidates.admitted.emplace_back(id, weight);
      continue;
    }
    if (is_admitted(endpoint, request) ||
        (!serves_long_reads && is_presumed_current(endpoint, request))) {
      candidates.admitted.emplace_back(id, share);
      candidates.has_replica = true;
    }
    candidates.reachable.push_back(id);
  }
  return candidates;
}

std::optional<EndpointId>
EndpointSelector::most_advanced(const PendingRequest& request,
                                const std::vector<EndpointId>& candidates) {
  const ReplicationPosition required =
      required_position(state_.class_of(request), request, state_.event.now);
  std::optional<EndpointId> best;
  for (const EndpointId id : candidates) {
    EndpointState& endpoint = state_.endpoints.at(id);
    if (is_known_stale(endpoint) && endpoint.stale_before <= required)
      continue;
    if (!admission_.admits_under_load(endpoint, request))
      continue;
    if (!best || endpoint.position > state_.endpoints.at(*best).position)
      best = id;
  }
  return best;
}

std::optional<EndpointId> EndpointSelector::choose_replica(PendingRequest& request) {
  const auto long_reads_at = long_read_replica(state_.group_of(request));
  if (long_reads_at && is_long_running(request.request.class_index)) {
    if (was_attempted(request, *long_reads_at))
      return std::nullopt;
    return pick_by_weighted_hash(request, {{*long_reads_at, 1}});
  }
  Candidates candidates = collect_candidates(request, long_reads_at);
  if (candidates.has_replica)
    return pick_by_weighted_hash(request, std::move(candidates.admitted));
  // A replica that is not proven current gets no read that needs current data, except where
  // endpoints check reads themselves. There the replica with the highest position gets it, unless
  // it is known to lag too far.
  if (state_.settings.staleness_check == StalenessCheck::None)
    return std::nullopt;
  return most_advanced(request, candidates.reachable);
}

}  // namespace gorsebeam::router
