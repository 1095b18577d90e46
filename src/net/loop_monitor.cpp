#include "loop_monitor.h"

#include "log.h"
#include "timer.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <string>

namespace gorsebeam::net {
namespace {

constexpr std::size_t kWorkKinds = 3;

// A wait that returns sooner may have found something ready at once: on a busy machine the call
// itself takes some milliseconds.
constexpr Duration kMinPollDuration = 10ms;

struct LoopState {
  bool is_observed = false;
  TimePoint iteration_began_at{};
  TimePoint last_polled_at{};  ///< What was there by then has been found.
  TimePoint earliest_arrival{};
  std::uint64_t iteration = 0;
  std::array<std::uint64_t, kWorkKinds> work{};
};

LoopState state;

std::string work_count(LoopWork work) {
  return std::to_string(state.work[static_cast<std::size_t>(work)]);
}

void end_iteration(TimePoint now) {
  const Duration duration = now - state.iteration_began_at;
  if (duration <= kSlowIteration)
    return;
  log({"event_loop_slow_iteration",
       {{"duration_ms", std::to_string(duration / 1ms)},
        {"accepts", work_count(LoopWork::Accept)},
        {"reads", work_count(LoopWork::Read)},
        {"timers", work_count(LoopWork::Timer)}}});
}

/// Records a wait that looked at the sockets. After one that ended late it is not known when it did
/// so: the process may have stood still before or behind that look.
void record_poll(TimePoint began_at, TimePoint ended_at, gint timeout_ms) {
  const TimePoint due_at = began_at + std::chrono::milliseconds(timeout_ms);
  const bool is_late = ended_at - kMaxTimerLateness >= due_at;
  const TimePoint polled_at = is_late ? began_at : ended_at;
  const bool found_at_once = ended_at - began_at < kMinPollDuration;
  state.earliest_arrival = found_at_once ? state.last_polled_at : polled_at;
  state.last_polled_at = polled_at;
  ++state.iteration;
}

void begin_iteration(TimePoint now) {
  state.iteration_began_at = now;
  state.work = {};
}

gint poll_events(GPollFD* descriptors, guint count, gint timeout_ms) {
  const bool is_bounded = timeout_ms >= 0 && timeout_ms < kMaxPollTimeoutMs;
  const gint timeout = is_bounded ? timeout_ms : kMaxPollTimeoutMs;
  const TimePoint began_at = now();
  end_iteration(began_at);
  const gint ready = g_poll(descriptors, count, timeout);
  const int error = errno;
  const TimePoint ended_at = now();
  // A wait that a signal ends has not looked at the sockets.
  if (ready >= 0)
    record_poll(began_at, ended_at, timeout);
  begin_iteration(ended_at);
  errno = error;
  return ready;
}

}  // namespace

void observe_loop() {
  if (state.is_observed)
    return;
  state.is_observed = true;
  begin_iteration(now());
  state.last_polled_at = state.iteration_began_at;
  state.earliest_arrival = state.iteration_began_at;
  g_main_context_set_poll_func(nullptr, poll_events);
}

void count_loop_work(LoopWork work) {
  ++state.work[static_cast<std::size_t>(work)];
}

std::uint64_t iteration() {
  return state.iteration;
}

TimePoint earliest_arrival() {
  return state.is_observed ? state.earliest_arrival : now();
}

}  // namespace gorsebeam::net
