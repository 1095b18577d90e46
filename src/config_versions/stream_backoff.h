/// Draws the delays between attempts to reach the control service.
#pragma once

#include "configuration.h"

namespace gorsebeam::config_versions {

/// Exponential backoff with full jitter: each delay is drawn uniformly between zero and a bound
/// that doubles with each failure, so that gateways that lost the same service do not reconnect at
/// the same time. Source: M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog,
/// 2015.
class StreamBackoff {
public:
  explicit StreamBackoff(std::uint64_t seed) : random_state_(seed | 1) {}

  /// Returns the delay after one more failure, from 0 to the doubled `initial_bound`, which never
  /// exceeds `max_bound`.
  [[nodiscard]] Duration next_delay(Duration initial_bound, Duration max_bound);

  /// Sets the bound back to the first one.
  void reset() { failures_ = 0; }

private:
  std::uint64_t draw();

  int failures_ = 0;
  std::uint64_t random_state_;
};

}  // namespace gorsebeam::config_versions
