// One-shot timers on the main loop, and the gateway's clock.
#pragma once

#include "handles.h"

#include <cstdint>
#include <functional>

namespace gorsebeam::net {

// Unix nanoseconds that never go back: the wall clock is read once, at the first call, and the monotonic clock
// carries it on. Guards the module, whose time must not go back, against a clock that is set while we run;
// positions, starts and discovery's times are Unix times and need no further mapping.
std::int64_t now();

class Timer {
public:
  explicit Timer(std::function<void()> action);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() = default;
  void at(std::int64_t when); // replaces what was set
  void after(std::int64_t delay) { at(now() + delay); }
  void stop();

private:
  static gboolean fire(gpointer self);
  std::function<void()> action_;
  SourceHandle source_;
};

} // namespace gorsebeam::net
