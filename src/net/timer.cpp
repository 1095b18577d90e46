#include "timer.h"

#include "late_timer_policy.h"
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

/// The difference between Unix time and the monotonic clock; fixed at the first call.
microseconds unix_time_offset() {
  static const microseconds kOffset{g_get_real_time() - g_get_monotonic_time()};
  return kOffset;
}

struct TimerQueue {
  std::map<Timer::QueueKey, Timer*> timers;
  std::uint64_t last_sequence = 0;
  LateTimerPolicy late_timer_policy;
};

gboolean prepare_queue(GSource*, gint* timeout_ms);
gboolean is_queue_due(GSource*);
gboolean dispatch_queue(GSource*, GSourceFunc, gpointer);

GSourceFuncs queue_source_functions = {prepare_queue, is_queue_due, dispatch_queue,
                                       nullptr,       nullptr,      nullptr};

/// The queue is never destroyed, because timers may outlive other static objects.
TimerQueue* create_queue() {
  // The prepare function sets the timeout of each poll. The alternative, g_source_set_ready_time,
  // wakes the event loop at each call; two in five polls ended for that reason alone.
  GSource* source = g_source_new(&queue_source_functions, sizeof(GSource));
  g_source_attach(source, nullptr);
  g_source_unref(source);  // the main context holds a reference
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

// The timeout is rounded up to whole milliseconds: rounded down, the poll would end before the
// timer is due.
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

void log_lateness(TimePoint now) {
  const TimerQueue& timer_queue = queue();
  if (timer_queue.timers.empty())
    return;
  const TimePoint first_due_at = timer_queue.timers.begin()->first.first;
  const auto lateness = timer_queue.late_timer_policy.lateness_to_log(first_due_at, now);
  if (lateness)
    log({"timers_late", {{"late_ms", std::to_string(*lateness / 1ms)}}});
}

/// Returns the timers that fire now, and defers the other due timers to the next iteration.
std::vector<Timer::QueueKey> select_timers_to_fire(TimePoint now) {
  TimerQueue& timer_queue = queue();
  std::vector<Timer::QueueKey> selected;
  bool has_deferred = false;
  for (const auto& [key, timer] : timer_queue.timers) {
    if (key.first > now)
      break;
    if (timer_queue.late_timer_policy.decide(key.first, now) == TimerDecision::Fire)
      selected.push_back(key);
    else
      has_deferred = true;
  }
  if (has_deferred)
    timer_queue.late_timer_policy.record_deferral(now);
  return selected;
}

// Fires each selected timer once. An action may set, stop or destroy any timer; a timer that it
// sets does not fire before the next iteration.
gboolean dispatch_queue(GSource*, GSourceFunc, gpointer) {
  auto& timers = queue().timers;
  const TimePoint time = now();
  log_lateness(time);
  const std::vector<Timer::QueueKey> selected = select_timers_to_fire(time);
  for (const Timer::QueueKey& key : selected) {
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
