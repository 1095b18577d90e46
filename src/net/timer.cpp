#include "timer.h"

#include "log.h"

#include <glib.h>

#include <algorithm>
#include <exception>
#include <map>
#include <utility>
#include <vector>

namespace gorsebeam::net {
namespace {

constexpr std::int64_t kMicrosecond = 1000, kMillisecond = 1000 * kMicrosecond;

std::int64_t
offset() {  // microseconds from the monotonic clock to Unix time, fixed at the first call
  static const std::int64_t fixed = g_get_real_time() - g_get_monotonic_time();
  return fixed;
}

struct Queue {
  std::map<Timer::Place, Timer*> timers;
  std::uint64_t set = 0;
};

gboolean prepare(GSource*, gint* wait);
gboolean due(GSource*);
gboolean dispatch(GSource*, GSourceFunc, gpointer);

GSourceFuncs kQueueSource = {prepare, due, dispatch, nullptr, nullptr, nullptr};

// Guards against a wake-up of the loop by itself at each setting, as a source's own ready time has
// it: two in five of all waits ended for nothing else.
Queue& queue() {
  static Queue& one = *[] {
    GSource* source = g_source_new(&kQueueSource, sizeof(GSource));
    g_source_attach(source, nullptr);
    g_source_unref(source);  // the loop's
    return new Queue;  // for as long as the process: timers may outlive whatever else is static
  }();
  return one;
}

gboolean due(GSource*) {
  const auto& timers = queue().timers;
  return !timers.empty() && timers.begin()->first.first <= now();
}

// Rounded up: a loop that wakes early finds nothing due.
gboolean prepare(GSource*, gint* wait) {
  const auto& timers = queue().timers;
  *wait = -1;
  if (timers.empty())
    return FALSE;
  const std::int64_t left = timers.begin()->first.first - now();
  *wait = static_cast<gint>(
      std::clamp<std::int64_t>((left + kMillisecond - 1) / kMillisecond, 0, G_MAXINT));
  return left <= 0;
}

// What is due now, each once: an action may set, stop or end any timer, and what it sets waits for
// the next round.
gboolean dispatch(GSource*, GSourceFunc, gpointer) {
  auto& timers = queue().timers;
  std::vector<Timer::Place> places;
  const std::int64_t time = now();
  for (auto at = timers.begin(); at != timers.end() && at->first.first <= time; ++at)
    places.push_back(at->first);
  for (const Timer::Place& place : places) {
    const auto found = timers.find(place);
    if (found != timers.end())
      found->second->fire();
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace

std::int64_t now() {
  return (offset() + g_get_monotonic_time()) * kMicrosecond;
}

Timer::Timer(std::function<void()> action) : action_(std::move(action)) {}

void Timer::at(std::int64_t when) {
  stop();
  place_ = {when, ++queue().set};
  queue().timers[place_] = this;
  set_ = true;
}

void Timer::stop() {
  if (std::exchange(set_, false))
    queue().timers.erase(place_);
}

void Timer::fire() {
  stop();
  const auto action = action_;  // the action may end the timer's owner
  try {
    action();
  } catch (const std::exception& error) {
    log({"timer_failed", {{"error", error.what()}}});
  }
}

}  // namespace gorsebeam::net
