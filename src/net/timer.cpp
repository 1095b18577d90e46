#include "timer.h"

#include "log.h"
#include "loop_monitor.h"

#include <glib.h>

#include <algorithm>
#include <exception>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::net {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// From the monotonic clock to Unix time, fixed at the first call.
microseconds unix_time_offset() {
  static const microseconds kOffset{g_get_real_time() - g_get_monotonic_time()};
  return kOffset;
}

struct TimerQueue {
  std::map<Timer::QueueKey, Timer*> timers;
  std::uint64_t last_sequence = 0;
  TimePoint deferred_until{};  ///< Timers due by then have waited for a whole turn.
};

gboolean prepare_queue(GSource*, gint* timeout_ms);
gboolean is_queue_due(GSource*);
gboolean dispatch_queue(GSource*, GSourceFunc, gpointer);

GSourceFuncs queue_source_functions = {prepare_queue, is_queue_due, dispatch_queue,
                                       nullptr,       nullptr,      nullptr};

/// Lives as long as the process, as timers may outlive other static objects.
TimerQueue* create_queue() {
  // A ready time of the source would wake the loop each time that it is set: measured, two in five
  // waits of the loop ended for nothing else. The prepare function avoids that.
  GSource* source = g_source_new(&queue_source_functions, sizeof(GSource));
  g_source_attach(source, nullptr);
  g_source_unref(source);  // the main context holds it
  return new TimerQueue;
}

TimerQueue& queue() {
  static TimerQueue& instance = *create_queue();
  return instance;
}

gboolean is_queue_due(GSource*) {
  const auto& timers = queue().timers;
  const bool is_due = !timers.empty() && timers.begin()->first.first <= now();
  return is_due ? TRUE : FALSE;
}

// The timeout is rounded up, as a loop that wakes early finds nothing due.
gboolean prepare_queue(GSource*, gint* timeout_ms) {
  const auto& timers = queue().timers;
  *timeout_ms = -1;
  if (timers.empty())
    return FALSE;
  const Duration remaining = timers.begin()->first.first - now();
  const auto rounded_up = std::chrono::ceil<milliseconds>(remaining).count();
  *timeout_ms = static_cast<gint>(std::clamp<milliseconds::rep>(rounded_up, 0, G_MAXINT));
  return remaining <= 0ms ? TRUE : FALSE;
}

void log_lateness(TimePoint time) {
  const auto& timers = queue().timers;
  const Duration lateness = timers.empty() ? 0ms : time - timers.begin()->first.first;
  const bool is_first_detection =
      timers.empty() || timers.begin()->first.first > queue().deferred_until;
  if (lateness > kSlowIteration && is_first_detection)
    log({"timers_late", {{"late_ms", std::to_string(lateness / 1ms)}}});
}

// Whether a timer that is due must wait for one turn, in which the sockets are read.
bool must_defer(TimePoint due_at, TimePoint time) {
  return due_at > queue().deferred_until && due_at < time - kMaxTimerLateness;
}

// The timers that fire now; late ones fire in the next turn.
std::vector<Timer::QueueKey> select_due(TimePoint time) {
  std::vector<Timer::QueueKey> due;
  bool has_late = false;
  for (const auto& [key, timer] : queue().timers) {
    if (key.first > time)
      break;
    if (must_defer(key.first, time))
      has_late = true;
    else
      due.push_back(key);
  }
  if (has_late)
    queue().deferred_until = time;
  return due;
}

// Fires each timer that is due now once: an action may set, stop or destroy any timer, and what it
// sets waits for the next iteration.
gboolean dispatch_queue(GSource*, GSourceFunc, gpointer) {
  auto& timers = queue().timers;
  const TimePoint time = now();
  log_lateness(time);
  const std::vector<Timer::QueueKey> due = select_due(time);
  for (const Timer::QueueKey& key : due) {
    const auto found = timers.find(key);
    if (found == timers.end())
      continue;
    count_loop_work(LoopWork::Timer);
    found->second->fire();
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace

TimePoint now() {
  return TimePoint(unix_time_offset() + microseconds(g_get_monotonic_time()));
}

Timer::Timer(std::function<void()> action) : action_(std::move(action)) {}

void Timer::at(TimePoint when) {
  stop();
  queue_key_ = {when, ++queue().last_sequence};
  queue().timers[queue_key_] = this;
  is_set_ = true;
}

void Timer::stop() {
  if (std::exchange(is_set_, false))
    queue().timers.erase(queue_key_);
}

void Timer::fire() {
  stop();
  const auto action = action_;  // the action may destroy the timer
  try {
    action();
  } catch (const std::exception& error) {
    log({"timer_failed", {{"error", error.what()}}});
  }
}

}  // namespace gorsebeam::net
