/// Suspends the use of a socket after an error that may be transient.
#pragma once

#include "timer.h"

#include <functional>
#include <utility>

#include <glib.h>

namespace gorsebeam::net {

class TransientErrorBackoff {
public:
  /// `resume` runs on the main loop at the end of each backoff.
  explicit TransientErrorBackoff(std::function<void()> resume) : timer_(std::move(resume)) {}

  /// Starts a backoff if the call that failed with `error` may succeed soon. Returns false if it
  /// may not, or after too many errors in a row, as an error that GLib has no code for may also be
  /// the end of the connection.
  [[nodiscard]] bool start(const GError& error);

  /// A call succeeded: the next error is the first in a row.
  void record_success() { consecutive_errors_ = 0; }

  /// Ends the backoff without a call of `resume`.
  void stop() { timer_.stop(); }

private:
  Timer timer_;
  int consecutive_errors_ = 0;
};

}  // namespace gorsebeam::net
