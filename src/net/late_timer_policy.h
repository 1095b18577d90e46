/// Decides which of the timers that are due fire now, and which are deferred to the next iteration
/// of the event loop. Pure.
///
/// Many timers detect that input did not arrive in time. After a stall of the event loop such a
/// timer may be due although the input has arrived and was not read yet. A late timer is therefore
/// deferred for one iteration, in which all sockets that are ready are read.
#pragma once

#include "gorsebeam/time.h"

#include <optional>

namespace gorsebeam::net {

enum class TimerDecision { Fire, Defer };

class LateTimerPolicy {
public:
  /// Decides on a timer that was due at `due_at`, which is not after `now`.
  [[nodiscard]] TimerDecision decide(TimePoint due_at, TimePoint now) const;

  /// Records that late timers were deferred at `now`. Each timer that was due by then fires in the
  /// next iteration.
  void record_deferral(TimePoint now) { deferred_until_ = now; }

  /// Returns how late the first timer that is due is, if that is to be logged. It is logged above
  /// `kSlowIterationThreshold`, and only once for a timer that was deferred.
  [[nodiscard]] std::optional<Duration> lateness_to_log(TimePoint first_due_at,
                                                        TimePoint now) const;

private:
  [[nodiscard]] bool was_deferred(TimePoint due_at) const { return due_at <= deferred_until_; }

  TimePoint deferred_until_{};  ///< Timers that were due by this time have been deferred once.
};

}  // namespace gorsebeam::net
