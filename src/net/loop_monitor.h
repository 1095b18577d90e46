/// Observes the turns of the main loop: how long each lasts, and what it did.
///
/// A turn begins when the wait for events returns and ends when the next wait begins. While the
/// loop is held up, by work of its own or because the process does not run, the time at which
/// something is read says little of when it happened.
///
/// All functions run on the main loop's thread.
#pragma once

#include <cstdint>

namespace gorsebeam::net {

/// What a turn does, as counted for the log.
enum class LoopWork { Accept, Read, Timer };

/// A turn that lasts longer, or a timer that fires later than this, is logged.
constexpr std::int64_t kLongTurn = 100'000'000;

/// Attaches the observer to the default main context, once for the process. The first call also
/// begins the first turn.
void observe_loop();

/// Counts one piece of work of the present turn.
void count_loop_work(LoopWork work);

/// The earliest time of `now()` at which bytes that are read in this turn can have arrived:
///  - the beginning of the turn, if the loop waited for events and was woken in time;
///  - the beginning of that wait, if it ended long after the first timer was due: the process did
///    not run, and what woke it may have been there for as long;
///  - the beginning of the turn before, if something was ready already when the wait began.
/// Without `observe_loop()` it is the present.
[[nodiscard]] std::int64_t earliest_arrival();

}  // namespace gorsebeam::net
