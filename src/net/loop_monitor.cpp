#include "loop_monitor.h"

#include "log.h"
#include "timer.h"

#include <glib.h>

#include <array>
#include <cstddef>
#include <string>

namespace gorsebeam::net {
namespace {

constexpr std::int64_t kNanosPerMillisecond = 1'000'000;
constexpr std::size_t kWorkKinds = 3;

// A wait that returns sooner found something ready.
constexpr std::int64_t kMinWait = 1'000'000;

struct LoopState {
  std::int64_t turn_began_at = 0;  ///< 0: not observed.
  std::int64_t wait_began_at = 0;
  std::int64_t wait_due_at = 0;  ///< When the wait was to end at the latest.
  std::int64_t earliest_arrival = 0;
  std::array<std::uint64_t, kWorkKinds> work{};
};

LoopState state;

std::string work_count(LoopWork work) {
  return std::to_string(state.work[static_cast<std::size_t>(work)]);
}

void log_long_turn(std::int64_t duration) {
  log({"loop_turn_long",
       {{"duration_ms", std::to_string(duration / kNanosPerMillisecond)},
        {"accepts", work_count(LoopWork::Accept)},
        {"reads", work_count(LoopWork::Read)},
        {"timers", work_count(LoopWork::Timer)}}});
}

gboolean end_turn(GSource*, gint* timeout_ms) {
  *timeout_ms = -1;
  state.wait_began_at = now();
  state.wait_due_at = next_timer_at();
  const std::int64_t duration = state.wait_began_at - state.turn_began_at;
  if (duration > kLongTurn)
    log_long_turn(duration);
  return FALSE;
}

std::int64_t earliest_arrival_of_turn(std::int64_t began_at) {
  if (began_at - state.wait_began_at < kMinWait)
    return state.turn_began_at;
  const bool was_woken_in_time = began_at - kMaxTimerLateness < state.wait_due_at;
  return was_woken_in_time ? began_at : state.wait_began_at;
}

gboolean begin_turn(GSource*) {
  const std::int64_t began_at = now();
  state.earliest_arrival = earliest_arrival_of_turn(began_at);
  state.turn_began_at = began_at;
  state.work = {};
  return FALSE;
}

gboolean dispatch_nothing(GSource*, GSourceFunc, gpointer) {
  return G_SOURCE_CONTINUE;
}

GSourceFuncs observer_functions = {end_turn, begin_turn, dispatch_nothing,
                                   nullptr,  nullptr,    nullptr};

}  // namespace

void observe_loop() {
  if (state.turn_began_at != 0)
    return;
  state.turn_began_at = now();
  state.earliest_arrival = state.turn_began_at;
  GSource* source = g_source_new(&observer_functions, sizeof(GSource));
  // Before every other source, so that its functions run in each turn.
  g_source_set_priority(source, G_PRIORITY_HIGH - 1);
  g_source_attach(source, nullptr);
  g_source_unref(source);  // the main context holds it
}

void count_loop_work(LoopWork work) {
  ++state.work[static_cast<std::size_t>(work)];
}

std::int64_t earliest_arrival() {
  return state.turn_began_at == 0 ? now() : state.earliest_arrival;
}

}  // namespace gorsebeam::net
