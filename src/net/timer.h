/// One-shot timers on the main loop, and the gateway's clock.
#pragma once

#include "gorsebeam/time.h"

#include <cstdint>
#include <functional>
#include <utility>

namespace gorsebeam::net {

/// Unix time that never goes back: the wall clock is read once, at the first call,
/// and the monotonic clock carries it on. A change of the system clock while the process runs
/// therefore has no effect; replication positions, start times and discovery's times are Unix
/// times and need no mapping.
TimePoint now();

/// A timer that is due for longer than this waits for one more turn of the loop.
constexpr Duration kMaxTimerLateness = 20ms;

/// All timers of the process are in one queue, and the main loop has one source for it: setting a
/// timer does not wake the loop.
///
/// A timer often stands for something that did not arrive in time. After a pause of the loop both
/// may be there at once, the timer and what it waits for. So a timer that is late fires only after
/// a turn in which all sockets that were ready have been read.
class Timer {
public:
  /// `action` runs on the main loop; it may set, stop or destroy any timer. An exception in it is
  /// logged.
  explicit Timer(std::function<void()> action);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  ~Timer() { stop(); }

  /// Sets the timer to a time of `now()`, in place of what was set before. A timer that is set
  /// while timers fire waits for the next iteration of the loop.
  void at(TimePoint when);

  void after(Duration delay) { at(now() + delay); }

  void stop();

  /// Whether it is set to a time that has come.
  [[nodiscard]] bool is_due() const { return is_set_ && queue_key_.first <= now(); }

  /// Runs the action now; called by the queue.
  void fire();

  /// Position in the queue: by time, then by the order in which timers were set.
  using QueueKey = std::pair<TimePoint, std::uint64_t>;

private:
  std::function<void()> action_;
  QueueKey queue_key_{};
  bool is_set_ = false;
};

}  // namespace gorsebeam::net
