#include "virtual_time.h"

#include "net/loop_monitor.h"
#include "net/timer.h"

#include <algorithm>
#include <map>
#include <utility>

namespace {

constexpr gorsebeam::TimePoint
    kStart(std::chrono::seconds(1'767'225'600));  // any time long after 1970

gorsebeam::TimePoint current_time = kStart;
std::uint64_t last_place = 0;
std::map<std::pair<gorsebeam::TimePoint, std::uint64_t>, std::function<void()>> steps;

}  // namespace

namespace virtual_time {

void schedule(gorsebeam::TimePoint when, std::function<void()> step) {
  steps[{when, ++last_place}] = std::move(step);
}

void run_until(gorsebeam::TimePoint when) {
  while (!steps.empty() && steps.begin()->first.first <= when) {
    current_time = std::max(current_time, steps.begin()->first.first);
    const auto step = std::move(steps.begin()->second);
    steps.erase(steps.begin());
    step();
  }
  current_time = when;
}

std::size_t pending() {
  return steps.size();
}

}  // namespace virtual_time

namespace gorsebeam::net {

TimePoint now() {
  return current_time;
}

TimePoint earliest_arrival() {
  return current_time;  // nothing holds the loop up
}

Timer::Timer(std::function<void()> action) : action_(std::move(action)) {}

void Timer::at(TimePoint when) {
  stop();
  queue_key_ = {when, ++last_place};
  steps[queue_key_] = [this] {
    fire();
  };
  is_set_ = true;
}

void Timer::stop() {
  if (std::exchange(is_set_, false))
    steps.erase(queue_key_);
}

void Timer::fire() {
  stop();
  const auto action = action_;  // the action may destroy the timer
  action();
}

}  // namespace gorsebeam::net
