#include "delayed_tasks.h"

#include <cstdint>
#include <iterator>
#include <utility>

namespace fault_soak {

using gorsebeam::net::Timer;

namespace {}  // namespace

void DelayedTasks::run_after(Millis delay, std::function<void()> task) {
  timers_.push_back(nullptr);
  const auto place = std::prev(timers_.end());
  *place = std::make_unique<Timer>([this, place, task = std::move(task)] {
    const std::unique_ptr<Timer> expired = std::move(*place);
    timers_.erase(place);
    task();
  });
  (*place)->after(std::chrono::milliseconds(delay));
}

}  // namespace fault_soak
