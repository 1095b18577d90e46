#include "virtual_time.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::simulation {

void EventQueue::schedule(TimePoint at, Callback callback) {
  events_.push({std::max(at, now_), next_order_, std::move(callback)});
  ++next_order_;
}

void EventQueue::run_until(TimePoint end) {
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.callback();
  }
}

TimePoint SimulatedClock::local_time(TimePoint true_time) const {
  return TimePoint(offset + to_duration(to_double(true_time.time_since_epoch()) * rate));
}

TimePoint SimulatedClock::wake_time(TimePoint local) const {
  return TimePoint(to_duration(to_double(local.time_since_epoch() - offset) / rate) + 1us);
}

}  // namespace gorsebeam::simulation
