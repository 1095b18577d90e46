/// Suspends the use of a socket after an error that may be transient.
#pragma once

#include "timer.h"

#include <functional>
#include <utility>

#include <glib.h>

namespace gorsebeam::net {

class TransientErrorBackoff {
public:
  /// `resume` runs on the event loop at the end of each backoff.
  explicit TransientErrorBackoff(std::function<void()> resume) : timer_(std::move(resume)) {}

  /// Starts a backoff if the call that failed with `error` may succeed soon. Returns false if it
  /// may not, or after too many consecutive errors: an error for which GLib has no code may also
  /// mean that the connection is lost.
  [[nodiscard]] bool start(const GError& error);

  /// Records that a call succeeded, which resets the count of consecutive errors.
  void record_success() { consecutive_errors_ = 0; }

  /// Ends the backoff without calling `resume`.
  void stop() { timer_.stop(); }

private:
  Timer timer_;
  int consecutive_errors_ = 0;
};

}  // namespace gorsebeam::net
