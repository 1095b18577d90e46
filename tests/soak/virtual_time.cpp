#include "virtual_time.h"

#include "net/timer.h"

#include <map>
#include <utility>

namespace {

constexpr std::int64_t kStart = 1'767'225'600'000'000'000; // any time that is long after 1970

std::int64_t clock_now = kStart;
std::uint64_t asked = 0;
std::map<std::pair<std::int64_t, std::uint64_t>, std::function<void()>> steps;

// Stands in for a timer's source. GLib ends it with its owner, and then it leaves the queue.
struct Alarm {
  GSource source;
  std::pair<std::int64_t, std::uint64_t> key;
};

GSourceFuncs alarm_kind = {nullptr,
                           nullptr,
                           nullptr,
                           [](GSource* source) { steps.erase(reinterpret_cast<Alarm*>(source)->key); },
                           nullptr,
                           nullptr};

} // namespace

namespace virtual_time {

void at(std::int64_t when, std::function<void()> step) { steps[{when, ++asked}] = std::move(step); }

void run_until(std::int64_t when) {
  while (!steps.empty() && steps.begin()->first.first <= when) {
    clock_now = std::max(clock_now, steps.begin()->first.first);
    const auto step = std::move(steps.begin()->second);
    steps.erase(steps.begin());
    step();
  }
  clock_now = when;
}

std::size_t pending() { return steps.size(); }

} // namespace virtual_time

namespace gorsebeam::net {

std::int64_t now() { return clock_now; }

Timer::Timer(std::function<void()> action) : action_(std::move(action)) {}

void Timer::at(std::int64_t when) {
  if (!source_) source_.reset(g_source_new(&alarm_kind, sizeof(Alarm)));
  auto* alarm = reinterpret_cast<Alarm*>(source_.get());
  steps.erase(alarm->key);
  alarm->key = {when, ++asked};
  steps[alarm->key] = [this] { fire(this); };
}

void Timer::stop() {
  if (source_) steps.erase(reinterpret_cast<Alarm*>(source_.get())->key);
}

gboolean Timer::fire(gpointer self) {
  const auto action = static_cast<Timer*>(self)->action_; // the action may end the timer's owner
  action();
  return G_SOURCE_CONTINUE;
}

} // namespace gorsebeam::net
