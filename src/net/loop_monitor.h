/// Observes the iterations of the event loop: how long each lasts, what it does, and since when its
/// input can have been ready.
///
/// An iteration begins when a poll returns and ends when the next poll begins. All functions run on
/// the event loop's thread.
#pragma once

#include "gorsebeam/time.h"

#include <cstdint>

namespace gorsebeam::net {

/// The kinds of work that are counted in each iteration, for the log.
enum class LoopWork { Accept, Read, Timer };

/// The maximum timeout of a poll. A stall within a poll is detected only if the poll returns after
/// its timeout, so this value also limits how long a stall can be without being detected.
constexpr int kMaxPollTimeoutMs = 100;

/// Starts to observe GLib's default main context, until the process ends.
void observe_loop();

/// Counts one unit of work in the current iteration.
void count_loop_work(LoopWork work);

/// The number of the current iteration. A poll that a signal interrupts does not start a new
/// number.
[[nodiscard]] std::uint64_t current_iteration();

/// The earliest time, on the clock of `now()`, at which input that is read in the current iteration
/// can have arrived; see `LoopArrivalBound`. It holds for sockets that the recent polls included.
/// Returns the current time if `observe_loop()` was not called.
[[nodiscard]] TimePoint earliest_arrival();

}  // namespace gorsebeam::net
