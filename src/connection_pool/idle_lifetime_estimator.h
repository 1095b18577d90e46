/// Estimates how long an idle connection stays usable.
#pragma once

#include "gorsebeam/router.h"

#include <array>
#include <cstddef>

namespace gorsebeam::connection_pool {

/// Counts how reused connections fared, by how long they had been idle. The network, or the
/// endpoints, may forget idle connections long before the settings say; each request on such a
/// connection ends as a reset and may have run.
///
/// The counts decay over 20 s, after which a longer idle time is tried again. Reads the gateway's
/// clock; runs on one thread.
class IdleLifetimeEstimator {
public:
  /// Records one use of a connection that had been idle for `idle_time` nanoseconds, and whether
  /// the connection broke before any byte of a response.
  void record_use(Duration idle_time, bool broke);

  /// The idle time in nanoseconds from which a connection is not used again; the highest `Duration`
  /// while no idle time fares worse than none.
  [[nodiscard]] Duration max_idle_time();

private:
  /// Decayed counts of uses after idle times in one interval.
  struct Interval {
    double uses = 0;
    double broken = 0;
  };

  static constexpr std::size_t kIntervals = 8;

  [[nodiscard]] static std::size_t interval_of(Duration idle_time);
  void decay();

  std::array<Interval, kIntervals> intervals_;  // each reaches twice as far as the one before
  TimePoint decayed_at_{};
};

}  // namespace gorsebeam::connection_pool
