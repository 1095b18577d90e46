// Guards against a program that ends with an exception in the handling of a signal.
#include "net/signals.h"

#include <gtest/gtest.h>

#include <csignal>
#include <stdexcept>
#include <vector>

#include <glib.h>

namespace gorsebeam::net {
namespace {

TEST(Signals, ReportsFurtherSignalsAfterAnException) {
  std::vector<int> handled;
  const Signals signals({SIGUSR1, SIGUSR2}, [&handled](int number) {
    handled.push_back(number);
    if (handled.size() == 1)
      throw std::runtime_error("a reload that fails");
  });
  std::raise(SIGUSR1);
  std::raise(SIGUSR2);
  while (handled.size() < 2)
    g_main_context_iteration(nullptr, TRUE);
  EXPECT_EQ(handled, (std::vector<int>{SIGUSR1, SIGUSR2}));
  std::raise(SIGUSR1);
  while (handled.size() < 3)
    g_main_context_iteration(nullptr, TRUE);
  EXPECT_EQ(handled.back(), SIGUSR1);
}

}  // namespace
}  // namespace gorsebeam::net
