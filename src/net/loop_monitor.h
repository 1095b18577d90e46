/// Observes the turns of the main loop: how long each lasts, and what it did.
///
/// A turn begins when the wait for events returns and ends when the next wait begins. While the
/// loop is held up, by work of its own or because the process does not run, the time at which
/// something is read says little of when it happened.
///
/// All functions run on the main loop's thread.
#pragma once

#include "gorsebeam/time.h"

#include <cstdint>

namespace gorsebeam::net {

/// What a turn does, as counted for the log.
enum class LoopWork { Accept, Read, Timer };

/// A turn that lasts longer, or a timer that fires later than this, is logged.
constexpr Duration kSlowIteration = 100ms;

/// The longest wait for events: so long at most a pause within a wait may go unnoticed.
constexpr int kMaxPollTimeoutMs = 100;

/// Observes the default main context from now on, for as long as the process lives.
void observe_loop();

/// Counts one piece of work of the present turn.
void count_loop_work(LoopWork work);

/// Counts the turns whose wait looked at the sockets. What was not watched in the turn before may
/// have been there to be read.
[[nodiscard]] std::uint64_t iteration();

/// The earliest time of `now()` at which bytes that are read in this turn can have arrived, on a
/// socket that was watched before:
///  - the beginning of the turn, if the loop waited for events and was woken in time;
///  - the beginning of that wait, if it ended long after it was due: the process did not run, and
///    what woke it may have been there for as long;
///  - the end of the wait before, if something was ready already when this one began.
/// Without `observe_loop()` it is the present.
[[nodiscard]] TimePoint earliest_arrival();

}  // namespace gorsebeam::net
