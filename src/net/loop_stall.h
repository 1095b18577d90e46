/// How late the main loop must be to count as stalled.
#pragma once

#include "gorsebeam/time.h"

namespace gorsebeam::net {

/// A poll or a timer that is later than this shows that the loop was stalled: an iteration took
/// long, or the process did not run.
constexpr Duration kLoopStallThreshold = 20ms;

/// An iteration that lasts longer, or a timer that fires later than this, is logged.
constexpr Duration kSlowIterationThreshold = 100ms;

}  // namespace gorsebeam::net
