// One-shot timers on the main loop, and the gateway's clock.
#pragma once

#include <cstdint>
#include <functional>
#include <utility>

namespace gorsebeam::net {

// Unix nanoseconds that never go back: the wall clock is read once, at the first call, and the
// monotonic clock carries it on. Guards the module, whose time must not go back, against a clock
// that is set while we run; positions, starts and discovery's times are Unix times and need no
// further mapping.
std::int64_t now();

// All timers of the process stand in one queue, and the loop has one source for it: setting one
// wakes nobody.
class Timer {
public:
  explicit Timer(std::function<void()> action);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  ~Timer() { stop(); }

  void at(std::int64_t when);  // replaces what was set; one set while timers fire has its turn in
                               // the next round

  void after(std::int64_t delay) { at(now() + delay); }

  void stop();
  void fire();  // the queue's: what it was set for, now

  using Place = std::pair<std::int64_t,
                          std::uint64_t>;  // in the queue: by time, then by the order of setting

private:
  std::function<void()> action_;
  Place place_{};
  bool set_ = false;
};

}  // namespace gorsebeam::net
