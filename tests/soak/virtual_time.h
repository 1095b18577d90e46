/// The clock and the timers of net/timer.h in virtual time: an executable that links
/// virtual_time.cpp has them in place of the main loop's. Nothing waits, so hours pass in seconds,
/// the same each time. Times count from the Unix epoch.
#pragma once

#include "gorsebeam/time.h"

#include <cstddef>
#include <functional>

namespace virtual_time {

/// Schedules `step`. Steps run in the order of their times, and at the same time in the order of
/// scheduling.
void schedule(gorsebeam::TimePoint when, std::function<void()> step);

/// Runs all steps and timers due up to `when`, then sets the clock to it.
void run_until(gorsebeam::TimePoint when);

/// Steps and timers that are scheduled.
[[nodiscard]] std::size_t pending();

}  // namespace virtual_time
