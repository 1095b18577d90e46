/// A rate limiter that grants permits at even intervals and lets unused ones expire.
#pragma once

#include "router/time_points.h"

#include <cstddef>
#include <vector>

namespace gorsebeam::router {

/// Issues permits at a rate that the caller passes in, from a phase that the caller draws. Several
/// buckets with independent phases together issue the sum of their rates evenly, also where each of
/// them issues less than one permit in the time of interest. Because unused permits expire, a
/// window of length W sees at most `rate * (W + validity)` permits used, on average over the
/// phases. Times never go back. Holds at most `kMaxPermits` permits.
class PermitBucket {
public:
  static constexpr std::size_t kMaxPermits = 1000;

  PermitBucket() = default;

  /// Issues permits from `since` on. `phase` is the fraction of the first permit that has been
  /// earned by then, in [0, 1).
  PermitBucket(TimePoint since, double phase) : refilled_at_(since), progress_(phase) {}

  /// Issues the permits of the time since the last call, at `per_second`, and drops the permits
  /// that are older than `validity`, and the oldest above `capacity`, which is at least one.
  void refill(TimePoint now, double per_second, Duration validity, double capacity);

  /// Whether a permit is available, as of the last refill.
  [[nodiscard]] bool has_permit() const { return !issued_at_.empty(); }

  /// Uses one permit for a request that costs `cost` permits; what it costs beyond one, or less
  /// than one, changes when the next permit is issued. Does nothing but that if there is no permit.
  void spend(double cost);

private:
  TimePoint refilled_at_{};
  double progress_ = 0;               // the fraction of the next permit that has been earned
  std::vector<TimePoint> issued_at_;  // the unused permits, the oldest first
};

}  // namespace gorsebeam::router
