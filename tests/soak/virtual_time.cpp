#include "virtual_time.h"

#include "net/loop_monitor.h"
#include "net/timer.h"

#include <algorithm>
#include <map>
#include <utility>

namespace {

constexpr gorsebeam::TimePoint
    kStart(std::chrono::seconds(1'767'225'600));  // 2026-01-01; any time long after 1970 would do

gorsebeam::TimePoint current_time = kStart;
std::uint64_t last_sequence_number = 0;
std::map<std::pair<gorsebeam::TimePoint, std::uint64_t>, std::function<void()>> scheduled_steps;

}  // namespace

namespace virtual_time {

void schedule(gorsebeam::TimePoint when, std::function<void()> step) {
  scheduled_steps[{when, ++last_sequence_number}] = std::move(step);
}

void run_until(gorsebeam::TimePoint when) {
  while (!scheduled_steps.empty() && scheduled_steps.begin()->first.first <= when) {
    current_time = std::max(current_time, scheduled_steps.begin()->first.first);
    const auto step = std::move(scheduled_steps.begin()->second);
    scheduled_steps.erase(scheduled_steps.begin());
    step();
  }
  current_time = when;
}

void discard_scheduled() {
  scheduled_steps.clear();
}

std::size_t pending() {
  return scheduled_steps.size();
}

}  // namespace virtual_time

namespace gorsebeam::net {

TimePoint now() {
  return current_time;
}

TimePoint earliest_arrival() {
  return current_time;  // the virtual event loop never stalls
}

Timer::Timer(std::function<void()> action) : action_(std::move(action)) {}

void Timer::at(TimePoint when) {
  stop();
  queue_key_ = {when, ++last_sequence_number};
  scheduled_steps[queue_key_] = [this] {
    fire();
  };
  is_set_ = true;
}

void Timer::stop() {
  if (std::exchange(is_set_, false))
    scheduled_steps.erase(queue_key_);
}

void Timer::fire() {
  stop();
  const auto action = action_;  // the action may destroy the timer
  action();
}

}  // namespace gorsebeam::net
