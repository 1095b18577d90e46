/// Waits for events on the main loop, and failures that end a test from any depth of calls.
///
/// Everything runs on the test's one thread, which turns the default GLib main context.
#pragma once

#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>

namespace test_harness {

/// Ends the running test: GoogleTest reports an exception that leaves the test body as a failure.
/// Must not cross a GLib callback; report_callback_failure() serves there.
class TestFailure : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Throws TestFailure with `message` unless `condition` holds. For helpers that return a value,
/// where ASSERT_ macros do not compile.
void require(bool condition, const std::string& message);

/// Has each fatal GoogleTest assertion throw, so that one in a nested call ends the whole test.
/// To be called once, after GoogleTest is initialised.
void throw_on_fatal_failures();

/// Records a failure from within a main-loop callback; the wait that runs the loop then throws.
void report_callback_failure(const std::string& message);

/// Turns the main loop until `condition` holds. Throws TestFailure that names `awaited` if that
/// takes more than 20 seconds, a limit far above what any awaited event needs.
void wait_until(const std::function<bool()>& condition, const std::string& awaited);

/// As wait_until(), for destructors: records a failure in place of throwing.
void wait_until_in_destructor(const std::function<bool()>& condition,
                              const std::string& awaited) noexcept;

/// Turns the main loop for `duration`.
void run_main_loop_for(std::chrono::milliseconds duration);

}  // namespace test_harness
