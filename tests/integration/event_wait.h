/// Waits for events on the main loop, and failures that end a test from any depth of calls.
///
/// Everything runs on the test's only thread, which iterates the default GLib main context.
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

/// Makes each fatal GoogleTest assertion throw, so that a failure in a nested call ends the whole
/// test. Must be called once, after GoogleTest is initialized.
void throw_on_fatal_failures();

/// Records a failure from within a main-loop callback; the wait that runs the loop then throws.
void report_callback_failure(const std::string& message);

/// Runs the main loop until `condition` holds. After 20 seconds, far more than any awaited event
/// needs, it throws a TestFailure that names `awaited`.
void wait_until(const std::function<bool()>& condition, const std::string& awaited);

/// As wait_until(), for destructors: records a failure instead of throwing.
void wait_until_in_destructor(const std::function<bool()>& condition,
                              const std::string& awaited) noexcept;

/// Runs the main loop for `duration`.
void run_main_loop_for(std::chrono::milliseconds duration);

}  // namespace test_harness
