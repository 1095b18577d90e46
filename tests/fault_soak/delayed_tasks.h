/// Schedules tasks that run once, after a delay, on the main loop.
#pragma once

#include "soak_clock.h"

#include "net/timer.h"

#include <functional>
#include <list>
#include <memory>

namespace fault_soak {

/// Owns the timers of the pending tasks. Its destructor cancels these tasks.
class DelayedTasks {
public:
  void run_after(Millis delay, std::function<void()> task);

private:
  std::list<std::unique_ptr<gorsebeam::net::Timer>> timers_;
};

}  // namespace fault_soak
