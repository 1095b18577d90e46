/// A virtual clock. An executable that compiles virtual_time.cpp gets the clock and the timers of
/// net/timer.h in virtual time instead of the main loop's. Nothing waits, so that hours are
/// simulated in seconds, and each run gives the same result. Times count from the Unix epoch.
#pragma once

#include "gorsebeam/time.h"

#include <cstddef>
#include <functional>

namespace virtual_time {

/// Schedules `step` for the time `when`. Steps run in the order of their times, and steps with the
/// same time in the order in which they were scheduled.
void schedule(gorsebeam::TimePoint when, std::function<void()> step);

/// Runs all steps and timers that are due by `when`, then sets the clock to `when`.
void run_until(gorsebeam::TimePoint when);

/// Removes all scheduled steps, whose owner is about to end, and all timers.
void discard_scheduled();

/// The number of scheduled steps and timers.
[[nodiscard]] std::size_t pending();

}  // namespace virtual_time
