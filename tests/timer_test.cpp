// Tests how many iterations of the event loop timers cause, and in which order timers fire.
#include "net/timer.h"

#include <glib.h>
#include <gtest/gtest.h>

#include <string>

namespace {

using gorsebeam::net::Timer;
using namespace std::chrono_literals;

int poll_calls = 0;

gint counted_poll(GPollFD* fds, guint count, gint timeout) {
  ++poll_calls;
  return g_poll(fds, count, timeout);
}

TEST(Timer, DoesNotWakeTheLoopWhenSet) {
  g_main_context_set_poll_func(nullptr, counted_poll);
  int fired = 0;
  Timer other([] {});
  Timer timer([&] {
    other.after(60'000ms);
    if (++fired < 50)
      timer.after(2ms);
  });
  timer.after(2ms);
  while (fired < 50)
    g_main_context_iteration(nullptr, TRUE);
  g_main_context_set_poll_func(nullptr, nullptr);
  EXPECT_LE(poll_calls, 60) << "more polls than one for each firing, with a margin";
}

TEST(Timer, FiresInTheNextIterationWhenSetWhileTimersFire) {
  std::string order;
  Timer third([&] {
    order += 'c';
  });
  Timer stopped([&] {
    order += 'x';
  });
  Timer first([&] {
    order += 'a';
    stopped.stop();
    third.after(-1ns);
  });
  Timer second([&] {
    order += 'b';
  });
  first.after(-1ns);
  second.after(-1ns);
  stopped.after(-1ns);
  g_main_context_iteration(nullptr, TRUE);
  EXPECT_EQ(order, "ab");
  g_main_context_iteration(nullptr, TRUE);
  EXPECT_EQ(order, "abc");
}

// The input that a late timer waits for may be ready already, so the sources that are ready in the
// same iteration must run first.
TEST(Timer, FiresAfterTheSourcesThatAreReadyWhenItIsLate) {
  std::string order;
  Timer late([&] {
    order += 't';
  });
  late.after(-1000ms);
  // The source is attached after that of the timers, as the source of each socket is.
  g_idle_add_full(
      G_PRIORITY_DEFAULT,
      [](gpointer text) -> gboolean {
        *static_cast<std::string*>(text) += 's';
        return G_SOURCE_REMOVE;
      },
      &order, nullptr);
  g_main_context_iteration(nullptr, TRUE);
  EXPECT_EQ(order, "s");
  g_main_context_iteration(nullptr, TRUE);
  EXPECT_EQ(order, "st");
}

}  // namespace
