/// Observes the iterations of the main loop: how long each lasts, what it does, and since when its
/// input can have been ready.
///
/// An iteration begins when a poll returns and ends when the next poll begins. All functions run on
/// the main loop's thread.
#pragma once

#include "gorsebeam/time.h"

#include <cstdint>

namespace gorsebeam::net {

/// What an iteration does, as counted for the log.
enum class LoopWork { Accept, Read, Timer };

/// The longest timeout of a poll. A stall within a poll that ends before its timeout is not
/// detected, so that this bounds such a stall.
constexpr int kMaxPollTimeoutMs = 100;

/// Observes the default main context from now on, for as long as the process lives.
void observe_loop();

/// Counts one piece of work of this iteration.
void count_loop_work(LoopWork work);

/// The number of this iteration. Polls that a signal interrupts do not count.
[[nodiscard]] std::uint64_t current_iteration();

/// The earliest time of `now()` at which input that is read in this iteration can have arrived, on
/// a socket that was in the last polls; see `LoopArrivalBound`. The present without
/// `observe_loop()`.
[[nodiscard]] TimePoint earliest_arrival();

}  // namespace gorsebeam::net
