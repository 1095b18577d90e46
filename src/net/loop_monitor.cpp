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

struct LoopState {
  std::int64_t turn_began_at = 0;           ///< 0: not observed.
  std::int64_t previous_turn_began_at = 0;  ///< 0: this is the first.
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
  const std::int64_t duration = now() - state.turn_began_at;
  if (duration > kLongTurn)
    log_long_turn(duration);
  return FALSE;
}

gboolean begin_turn(GSource*) {
  state.previous_turn_began_at = state.turn_began_at;
  state.turn_began_at = now();
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
  if (state.turn_began_at == 0)
    return now();
  return state.previous_turn_began_at == 0 ? state.turn_began_at : state.previous_turn_began_at;
}

}  // namespace gorsebeam::net
