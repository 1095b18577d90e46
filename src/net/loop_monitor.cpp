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
constexpr Duration kMinWait = 10ms;

struct LoopState {
  bool is_observed = false;
  TimePoint turn_began_at{};
  TimePoint sockets_seen_at{};  ///< What was there by then has been found.
  TimePoint earliest_arrival{};
  std::uint64_t turn_number = 0;
  std::array<std::uint64_t, kWorkKinds> work{};
};

LoopState state;

std::string work_count(LoopWork work) {
  return std::to_string(state.work[static_cast<std::size_t>(work)]);
}

void end_turn(TimePoint now) {
  const Duration duration = now - state.turn_began_at;
  if (duration <= kLongTurn)
    return;
  log({"loop_turn_long",
       {{"duration_ms", std::to_string(duration / 1ms)},
        {"accepts", work_count(LoopWork::Accept)},
        {"reads", work_count(LoopWork::Read)},
        {"timers", work_count(LoopWork::Timer)}}});
}

/// Records a wait that looked at the sockets. After one that ended late it is not known when it did
/// so: the process may have stood still before or behind that look.
void record_wait(TimePoint began_at, TimePoint ended_at, gint timeout_ms) {
  const TimePoint due_at = began_at + std::chrono::milliseconds(timeout_ms);
  const bool is_late = ended_at - kMaxTimerLateness >= due_at;
  const TimePoint looked_at = is_late ? began_at : ended_at;
  const bool found_at_once = ended_at - began_at < kMinWait;
  state.earliest_arrival = found_at_once ? state.sockets_seen_at : looked_at;
  state.sockets_seen_at = looked_at;
  ++state.turn_number;
}

void begin_turn(TimePoint now) {
  state.turn_began_at = now;
  state.work = {};
}

gint wait_for_events(GPollFD* descriptors, guint count, gint timeout_ms) {
  const bool is_bounded = timeout_ms >= 0 && timeout_ms < kMaxWaitMs;
  const gint timeout = is_bounded ? timeout_ms : kMaxWaitMs;
  const TimePoint began_at = now();
  end_turn(began_at);
  const gint ready = g_poll(descriptors, count, timeout);
  const int error = errno;
  const TimePoint ended_at = now();
  // A wait that a signal ends has not looked at the sockets.
  if (ready >= 0)
    record_wait(began_at, ended_at, timeout);
  begin_turn(ended_at);
  errno = error;
  return ready;
}

}  // namespace

void observe_loop() {
  if (state.is_observed)
    return;
  state.is_observed = true;
  begin_turn(now());
  state.sockets_seen_at = state.turn_began_at;
  state.earliest_arrival = state.turn_began_at;
  g_main_context_set_poll_func(nullptr, wait_for_events);
}

void count_loop_work(LoopWork work) {
  ++state.work[static_cast<std::size_t>(work)];
}

std::uint64_t turn_number() {
  return state.turn_number;
}

TimePoint earliest_arrival() {
  return state.is_observed ? state.earliest_arrival : now();
}

}  // namespace gorsebeam::net
