/// Request rate limits of teams at this gateway, as one token bucket per team.
///
/// Performs no I/O; the caller passes the time in. Runs on one thread. Keeps one bucket for each
/// team that has a rate and removes a bucket with its rate.
#pragma once

#include "gorsebeam/router.h"

#include <map>
#include <string>

namespace gorsebeam::rate_limit {

/// The parameters of one bucket.
struct Rate {
  double per_second = 0;  ///< Tokens added per second; above 0.
  double burst = 1;       ///< Capacity in tokens; at least 1.
};

/// The buckets of all teams. Times are nanoseconds on one clock and never go back.
class TokenBuckets {
public:
  /// Replaces all rates. A team that already has a bucket keeps its tokens, at most the new burst;
  /// a new team starts with a full bucket.
  void replace_rates(const std::map<std::string, Rate>& rates, TimePoint now);

  /// Takes one token from the team's bucket. Returns 0 on success, and for a team without a rate;
  /// otherwise takes nothing and returns how long, in nanoseconds, until one token is available.
  [[nodiscard]] Duration try_acquire(const std::string& team, TimePoint now);

  /// The number of buckets.
  [[nodiscard]] std::size_t size() const { return buckets_.size(); }

private:
  struct Bucket {
    Rate rate;
    double tokens = 0;
    TimePoint updated_at{};
  };

  /// Tokens in `bucket` at `now`, at most its burst.
  [[nodiscard]] static double tokens_at(const Bucket& bucket, TimePoint now);

  std::map<std::string, Bucket> buckets_;
};

}  // namespace gorsebeam::rate_limit
