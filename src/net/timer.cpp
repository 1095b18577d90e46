#include "timer.h"

#include "log.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace gorsebeam::net {
namespace {

constexpr std::int64_t kMicrosecond = 1000;

std::int64_t offset() { // microseconds from the monotonic clock to Unix time, fixed at the first call
  static const std::int64_t fixed = g_get_real_time() - g_get_monotonic_time();
  return fixed;
}

GSourceFuncs kReadyTimeOnly = {
    nullptr, nullptr, [](GSource*, GSourceFunc action, gpointer data) { return action(data); },
    nullptr, nullptr, nullptr};

} // namespace

std::int64_t now() { return (offset() + g_get_monotonic_time()) * kMicrosecond; }

Timer::Timer(std::function<void()> action) : action_(std::move(action)) {}

void Timer::at(std::int64_t when) {
  if (!source_) {
    source_.reset(g_source_new(&kReadyTimeOnly, sizeof(GSource)));
    g_source_set_callback(source_.get(), &Timer::fire, this, nullptr);
    g_source_attach(source_.get(), nullptr);
  }
  // Rounded up: a timer that fires early finds nothing due.
  const std::int64_t monotonic = (when + kMicrosecond - 1) / kMicrosecond - offset();
  g_source_set_ready_time(source_.get(), std::max<std::int64_t>(monotonic, 0));
}

void Timer::stop() {
  if (source_) g_source_set_ready_time(source_.get(), -1);
}

gboolean Timer::fire(gpointer self) {
  auto* timer = static_cast<Timer*>(self);
  g_source_set_ready_time(timer->source_.get(), -1);
  const auto action = timer->action_; // the action may end the timer's owner
  try {
    action();
  } catch (const std::exception& error) { log_line("timer", std::string("exception: ") + error.what()); }
  return G_SOURCE_CONTINUE;
}

} // namespace gorsebeam::net
