/// Estimates the load of endpoints from how long their answers take.
///
/// A sample is an answer's latency as a fraction of its latency objective. Samples decay, so that
/// an estimate follows congestion, which lasts seconds. A router with little traffic gets few
/// answers from a single endpoint, so these are combined with the answers of all endpoints that
/// have the same zone and role (their pool). A pool also reflects a slow network path between
/// zones.
#pragma once

#include "gorsebeam/types.h"

#include <map>
#include <string>
#include <utility>

namespace gorsebeam::router {

/// A sum of samples in which older ones count less.
class DecayingLoad {
public:
  /// Reduces the weight of all samples by their age at `now`.
  DecayingLoad& decay(TimePoint now);

  /// Adds a sample at the time of the last `decay`, capped at `kNoAnswerSample`.
  void add(double objective_fraction);

  /// Whether the mean of the samples exceeds `target`.
  [[nodiscard]] bool exceeds(double target) const { return sum_ > target * count_; }

  [[nodiscard]] double sum() const { return sum_; }

  [[nodiscard]] double count() const { return count_; }

private:
  double sum_ = 0;
  double count_ = 0;
  TimePoint decayed_at_{};
};

/// Holds the pooled load for each zone and role. Its size is bounded by the zones in the endpoint
/// list.
class LatencyLoadEstimator {
public:
  /// The sample of a request that got no usable answer: twice the latency objective.
  static constexpr double kNoAnswerSample = 2;

  /// The pool of a zone and a role, decayed to `now`.
  [[nodiscard]] DecayingLoad& pool(const std::string& zone, Role role, TimePoint now);

  /// Adds a sample to an endpoint's own load and to its pool.
  static void record(DecayingLoad& own, DecayingLoad& pool, double objective_fraction,
                     TimePoint now);

  /// The target load divided by the endpoint's estimated load; above 1 for an endpoint with free
  /// capacity. `own` and `pool` must be decayed to the present.
  [[nodiscard]] static double headroom(const DecayingLoad& own, const DecayingLoad& pool,
                                       double target);

  /// The mean load of the endpoints with a role, over all zones, without the samples of `excluded`.
  [[nodiscard]] double mean_role_load(Role role, TimePoint now, const DecayingLoad& excluded = {});

private:
  std::map<std::pair<std::string, Role>, DecayingLoad> pools_;
};

}  // namespace gorsebeam::router
