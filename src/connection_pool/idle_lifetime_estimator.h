/// Estimates how long an idle connection stays usable.
#pragma once

#include "gorsebeam/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace gorsebeam::connection_pool {

/// How the first request on a connection that had been idle ended.
enum class ReuseOutcome {
  Usable,
  Broken,  ///< The connection broke before any byte of a response.
};

/// Counts how often reused connections break, by how long they had been idle. The network or the
/// endpoints may drop idle connections long before the idle timeout of the settings; a request on
/// such a connection ends as a reset and may have run.
///
/// The counts decay with a time constant of 20 s, so that a longer idle time is tried again later.
/// Performs no I/O; the caller passes the time in, which never goes back. Runs on one thread.
class IdleLifetimeEstimator {
public:
  /// Records the reuse of a connection that had been idle for `idle_time`.
  void record_reuse(TimePoint now, Duration idle_time, ReuseOutcome outcome);

  /// The idle time from which a connection must not be used again; empty while connections that
  /// were idle break no more often than others.
  [[nodiscard]] std::optional<Duration> idle_time_limit(TimePoint now);

private:
  /// Decayed counts of reuses after idle times in one interval.
  struct Interval {
    double uses = 0;
    double broken = 0;
  };

  static constexpr std::size_t kIntervals = 8;

  [[nodiscard]] static std::size_t interval_of(Duration idle_time);
  void decay(TimePoint now);

  /// Each interval ends at twice the end of the one before; the last one has no end.
  std::array<Interval, kIntervals> intervals_;
  TimePoint decayed_at_{};
};

}  // namespace gorsebeam::connection_pool
