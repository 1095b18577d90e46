/// The thresholds above which the event loop counts as stalled or slow.
#pragma once

#include "gorsebeam/time.h"

namespace gorsebeam::net {

/// A poll or a timer that is later than this shows that the event loop was stalled: an iteration
/// took long, or the process did not run.
constexpr Duration kLoopStallThreshold = 20ms;

/// An iteration that lasts longer than this, or a timer that is later than this, is logged.
constexpr Duration kSlowIterationThreshold = 100ms;

}  // namespace gorsebeam::net
