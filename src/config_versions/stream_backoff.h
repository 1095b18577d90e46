/// Computes the random delays between attempts to connect to the control service.
#pragma once

#include "configuration.h"

namespace gorsebeam::config_versions {

/// Implements exponential backoff with full jitter: each delay is random, uniform between zero and
/// a bound that doubles with each failure, so that gateways that lost the same service do not
/// reconnect at the same time. Source: M. Brooker, "Exponential Backoff And Jitter", AWS
/// Architecture Blog, 2015.
class StreamBackoff {
public:
  explicit StreamBackoff(std::uint64_t seed) : random_state_(seed | 1) {}

  /// Counts a failure and returns the delay after it. The delay lies between 0 and `initial_bound`,
  /// doubled for each earlier failure, but never above `max_bound`.
  [[nodiscard]] Duration next_delay(Duration initial_bound, Duration max_bound);

  /// Makes `initial_bound` the bound of the next delay.
  void reset() { failures_ = 0; }

private:
  std::uint64_t draw();

  int failures_ = 0;
  std::uint64_t random_state_;
};

}  // namespace gorsebeam::config_versions
