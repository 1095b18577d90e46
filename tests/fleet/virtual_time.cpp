#include "virtual_time.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::simulation {

void EventQueue::schedule(Nanos at, Callback callback) {
  events_.push({std::max(at, now_), next_order_, std::move(callback)});
  ++next_order_;
}

void EventQueue::run_until(Nanos end) {
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.callback();
  }
}

Nanos SimulatedClock::local_time(Nanos true_time) const {
  return offset + static_cast<Nanos>(static_cast<double>(true_time) * rate);
}

Nanos SimulatedClock::wake_time(Nanos local) const {
  return static_cast<Nanos>(static_cast<double>(local - offset) / rate) + 1000;
}

}  // namespace gorsebeam::simulation
