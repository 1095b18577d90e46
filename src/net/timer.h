/// One-shot timers on the main loop, and the gateway's clock.
#pragma once

#include "gorsebeam/time.h"

#include <cstdint>
#include <functional>
#include <utility>

namespace gorsebeam::net {

/// Unix time that never decreases: the sum of the monotonic clock and an offset that is fixed at
/// the first call. A change of the system clock while the process runs has no effect. Replication
/// positions, start times and the times of discovery are Unix times and need no conversion.
TimePoint now();

/// All timers of the process are in one queue, and the main loop has one source for it: setting a
/// timer does not wake the loop. A timer that is late fires only after an iteration in which all
/// sockets that were ready have been read; see `LateTimerPolicy`.
class Timer {
public:
  /// `action` runs on the main loop; it may set, stop or destroy any timer. An exception in it is
  /// logged.
  explicit Timer(std::function<void()> action);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  ~Timer() { stop(); }

  /// Sets the timer to a time of `now()` and replaces an earlier setting. A timer that is set while
  /// timers fire does not fire before the next iteration of the loop.
  void at(TimePoint when);

  void after(Duration delay) { at(now() + delay); }

  void stop();

  /// Whether it is set to a time that has come.
  [[nodiscard]] bool is_due() const { return is_set_ && queue_key_.first <= now(); }

  /// Runs the action now. Only the queue calls it.
  void fire();

  /// Position in the queue: by time, then by the order in which timers were set.
  using QueueKey = std::pair<TimePoint, std::uint64_t>;

private:
  std::function<void()> action_;
  QueueKey queue_key_{};
  bool is_set_ = false;
};

}  // namespace gorsebeam::net
