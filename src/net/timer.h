/// One-shot timers on the event loop, and the gateway's clock.
#pragma once

#include "gorsebeam/time.h"

#include <cstdint>
#include <functional>
#include <utility>

namespace gorsebeam::net {

/// The current Unix time, which never decreases: the monotonic clock plus an offset that is fixed
/// at the first call. A later change of the system clock has no effect. Replication positions,
/// start times and the times that discovery sends are Unix times too, so they need no conversion.
TimePoint now();

/// A timer that runs an action once at a given time. All timers of the process are in one queue,
/// which is one source of the event loop, so setting a timer does not wake the event loop. A late
/// timer fires only after an iteration in which all sockets that were ready have been read; see
/// `LateTimerPolicy`.
class Timer {
public:
  /// `action` runs on the event loop and may set, stop or destroy any timer. An exception that
  /// leaves it is logged.
  explicit Timer(std::function<void()> action);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  ~Timer() { stop(); }

  /// Sets the timer to fire at `when`, on the clock of `now()`, and replaces an earlier setting. A
  /// timer that is set while timers fire does not fire before the next iteration of the event loop.
  void at(TimePoint when);

  void after(Duration delay) { at(now() + delay); }

  void stop();

  [[nodiscard]] bool is_set() const { return is_set_; }

  /// Whether the timer is set and its time has come.
  [[nodiscard]] bool is_due() const { return is_set_ && queue_key_.first <= now(); }

  /// Runs the action now. Only the timer queue calls this function.
  void fire();

  /// The key that orders the queue: the time, then the order in which the timers were set.
  using QueueKey = std::pair<TimePoint, std::uint64_t>;

private:
  std::function<void()> action_;
  QueueKey queue_key_{};
  bool is_set_ = false;
};

}  // namespace gorsebeam::net
