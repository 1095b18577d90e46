/// Special points in time and units that the router's modules share.
#pragma once

#include "gorsebeam/types.h"

#include <limits>

namespace gorsebeam::router {

constexpr Nanos kMillisecond = 1'000'000;

/// A point in time that does not come.
constexpr Nanos kNever = std::numeric_limits<Nanos>::max();

/// A position or a point in time that is not known; before all others.
constexpr Nanos kUnknown = std::numeric_limits<Nanos>::min();

}  // namespace gorsebeam::router
