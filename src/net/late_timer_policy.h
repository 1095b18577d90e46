/// Decides which of the timers that are due fire now, and which are deferred to the next iteration
/// of the main loop. Pure.
///
/// A timer often detects that something did not arrive in time. After a stall of the loop both the
/// timer may be due and the input may be readable. A timer that is late is therefore deferred for
/// one iteration, in which all sockets that are ready are read.
#pragma once

#include "gorsebeam/time.h"

#include <optional>

namespace gorsebeam::net {

enum class TimerDecision { Fire, Defer };

class LateTimerPolicy {
public:
  /// Decides on a timer that was due at `due_at`, which is not after `now`.
  [[nodiscard]] TimerDecision decide(TimePoint due_at, TimePoint now) const;

  /// Records that timers were deferred in the iteration at `now`. Each timer that was due by then
  /// fires in the next iteration.
  void record_deferral(TimePoint now) { deferred_until_ = now; }

  /// Returns the lateness of the first timer that is due, if it is to be logged: above
  /// `kSlowIterationThreshold`, and not logged already in the iteration that deferred the timer.
  [[nodiscard]] std::optional<Duration> lateness_to_log(TimePoint first_due_at,
                                                        TimePoint now) const;

private:
  [[nodiscard]] bool was_deferred(TimePoint due_at) const { return due_at <= deferred_until_; }

  TimePoint deferred_until_{};  ///< Timers that were due by then have been deferred already.
};

}  // namespace gorsebeam::net
