#include "event_wait.h"

#include "net/timer.h"

#include <gtest/gtest.h>

#include <glib.h>
#include <memory>
#include <utility>

namespace test_harness {
namespace {

constexpr gint64 kMaxWaitMicroseconds = 20 * G_USEC_PER_SEC;
constexpr std::chrono::milliseconds kPollInterval(5);

bool callback_failed = false;

void throw_pending_callback_failure(const std::string& awaited) {
  const bool failed = std::exchange(callback_failed, false);
  require(!failed,
          "a client or an endpoint of the test reported a failure during the wait for: " + awaited);
}

class ThrowingListener : public testing::EmptyTestEventListener {
  void OnTestPartResult(const testing::TestPartResult& result) override {
    if (result.type() == testing::TestPartResult::kFatalFailure)
      throw testing::AssertionException(result);
  }
};

}  // namespace

void throw_on_fatal_failures() {
  // GoogleTest owns the listener. A listener that throws must be the last one in the list.
  testing::UnitTest::GetInstance()->listeners().Append(
      std::make_unique<ThrowingListener>().release());
}

void require(bool condition, const std::string& message) {
  if (!condition)
    throw TestFailure(message);
}

void report_callback_failure(const std::string& message) {
  callback_failed = true;
  ADD_FAILURE() << message;
}

void wait_until(const std::function<bool()>& condition, const std::string& awaited) {
  const gint64 deadline = g_get_monotonic_time() + kMaxWaitMicroseconds;
  gorsebeam::net::Timer poll_timer([&poll_timer] {
    poll_timer.after(kPollInterval);
  });
  poll_timer.after(kPollInterval);
  while (!condition()) {
    throw_pending_callback_failure(awaited);
    require(g_get_monotonic_time() <= deadline,
            "waited " + std::to_string(kMaxWaitMicroseconds / G_USEC_PER_SEC) +
                " s for: " + awaited);
    g_main_context_iteration(nullptr, TRUE);
  }
  throw_pending_callback_failure(awaited);
}

void wait_until_in_destructor(const std::function<bool()>& condition,
                              const std::string& awaited) noexcept {
  try {
    wait_until(condition, awaited);
  } catch (const std::exception& error) {
    ADD_FAILURE() << error.what();
  }
}

void run_main_loop_for(std::chrono::milliseconds duration) {
  const gint64 end = g_get_monotonic_time() + duration.count() * 1000;
  wait_until(
      [end] {
        return g_get_monotonic_time() >= end;
      },
      "a fixed time to pass");
}

}  // namespace test_harness
