/// Tasks that run once on the main loop after a delay.
#pragma once

#include "soak_clock.h"

#include "net/timer.h"

#include <functional>
#include <list>
#include <memory>

namespace fault_soak {

/// Owns the timers of pending tasks; destroying it cancels them.
class DelayedTasks {
public:
  void run_after(Millis delay, std::function<void()> task);

private:
  std::list<std::unique_ptr<gorsebeam::net::Timer>> timers_;
};

}  // namespace fault_soak
