/// Estimates the load of endpoints from how long their answers take.
///
/// A sample is an answer's latency as a fraction of its latency objective. Samples decay, so that
/// an estimate follows congestion, which lasts seconds. A router with little traffic gets few
/// answers of a single endpoint, so they are weighted against those of all endpoints with the same
/// zone and role; this also covers a slow network path between zones.
#pragma once

#include "gorsebeam/types.h"

#include <map>
#include <string>
#include <utility>

namespace gorsebeam::router {

/// A sum of samples in which older ones count less.
class DecayingLoad {
public:
  /// Decays all samples up to `now`.
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

/// Holds the pooled load for each zone and role. Bounded by the zones that the list names.
class LatencyLoadEstimator {
public:
  /// The sample of a request that got no usable answer.
  static constexpr double kNoAnswerSample = 2;

  /// The pool of a zone and a role, decayed to `now`.
  [[nodiscard]] DecayingLoad& pool(const std::string& zone, Role role, TimePoint now);

  /// Adds a sample to an endpoint's own load and to its pool.
  static void record(DecayingLoad& own, DecayingLoad& pool, double objective_fraction,
                     TimePoint now);

  /// `target` divided by the estimated load; above 1 for an endpoint with free capacity. Both must
  /// be decayed to the present.
  [[nodiscard]] static double headroom(const DecayingLoad& own, const DecayingLoad& pool,
                                       double target);

  /// The mean load of a role over all zones, with the samples of `excluded` left out.
  [[nodiscard]] double mean_role_load(Role role, TimePoint now, const DecayingLoad& excluded = {});

private:
  std::map<std::pair<std::string, Role>, DecayingLoad> pools_;
};

}  // namespace gorsebeam::router
