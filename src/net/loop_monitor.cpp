#include "loop_monitor.h"

#include "arrival_bound.h"
#include "log.h"
#include "loop_stall.h"
#include "timer.h"

#include <glib.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <optional>
#include <string>

namespace gorsebeam::net {
namespace {

constexpr std::size_t kWorkKindCount = 3;

struct LoopState {
  std::optional<LoopArrivalBound> arrival_bound;  ///< Empty while the loop is not observed.
  TimePoint iteration_began_at{};
  std::uint64_t iteration = 0;
  std::array<std::uint64_t, kWorkKindCount> work{};
};

LoopState state;

std::string work_count(LoopWork work) {
  return std::to_string(state.work[static_cast<std::size_t>(work)]);
}

void begin_iteration(TimePoint now) {
  state.iteration_began_at = now;
  state.work = {};
}

void end_iteration(TimePoint now) {
  const Duration duration = now - state.iteration_began_at;
  if (duration <= kSlowIterationThreshold)
    return;
  log({"event_loop_slow_iteration",
       {{"duration_ms", std::to_string(duration / 1ms)},
        {"accepts", work_count(LoopWork::Accept)},
        {"reads", work_count(LoopWork::Read)},
        {"timers", work_count(LoopWork::Timer)}}});
}

gint poll_events(GPollFD* descriptors, guint count, gint timeout_ms) {
  const bool is_bounded = timeout_ms >= 0 && timeout_ms < kMaxPollTimeoutMs;
  const gint timeout = is_bounded ? timeout_ms : kMaxPollTimeoutMs;
  const TimePoint began_at = now();
  end_iteration(began_at);
  const gint ready = g_poll(descriptors, count, timeout);
  const int error = errno;
  const TimePoint ended_at = now();
  // A poll that a signal interrupted has not examined the sockets, so its times prove nothing.
  if (ready >= 0) {
    state.arrival_bound->record({began_at, ended_at, std::chrono::milliseconds(timeout)});
    ++state.iteration;
  }
  begin_iteration(ended_at);
  errno = error;
  return ready;
}

}  // namespace

void observe_loop() {
  if (state.arrival_bound)
    return;
  begin_iteration(now());
  state.arrival_bound.emplace(state.iteration_began_at);
  g_main_context_set_poll_func(nullptr, poll_events);
}

void count_loop_work(LoopWork work) {
  ++state.work[static_cast<std::size_t>(work)];
}

std::uint64_t current_iteration() {
  return state.iteration;
}

TimePoint earliest_arrival() {
  return state.arrival_bound ? state.arrival_bound->earliest_arrival() : now();
}

}  // namespace gorsebeam::net
