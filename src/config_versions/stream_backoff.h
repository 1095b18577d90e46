/// Draws the delays between attempts to reach the control service.
#pragma once

#include "configuration.h"

namespace gorsebeam::config_versions {

/// Exponential backoff with full jitter: each delay is drawn evenly from zero to a bound that
/// doubles with each failure, so that many gateways that lost one service do not return at once.
/// Source: M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.
class StreamBackoff {
public:
  explicit StreamBackoff(std::uint64_t seed) : random_(seed | 1) {}

  /// Returns the delay after one more failure, from 0 to the doubled `first_bound`, which never
  /// exceeds `max_bound`.
  [[nodiscard]] Duration next_delay(Duration first_bound, Duration max_bound);

  /// Makes the next bound the first one again.
  void reset() { failures_ = 0; }

private:
  std::uint64_t draw();

  int failures_ = 0;
  std::uint64_t random_;
};

}  // namespace gorsebeam::config_versions
