#include "delayed_tasks.h"

#include <iterator>
#include <utility>

namespace fault_soak {

using gorsebeam::net::Timer;

void DelayedTasks::run_after(Millis delay, std::function<void()> task) {
  timers_.push_back(nullptr);
  const auto entry = std::prev(timers_.end());
  *entry = std::make_unique<Timer>([this, entry, task = std::move(task)] {
    const std::unique_ptr<Timer> expired = std::move(*entry);
    timers_.erase(entry);
    task();
  });
  (*entry)->after(std::chrono::milliseconds(delay));
}

}  // namespace fault_soak
