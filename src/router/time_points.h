/// Special points in time that the router's modules share.
#pragma once

#include "gorsebeam/time.h"

namespace gorsebeam::router {

/// A point in time that is not known; before all others.
constexpr TimePoint kUnknownTime = TimePoint::min();

/// A replication position that is not known; before all others.
constexpr ReplicationPosition kUnknownPosition = ReplicationPosition::min();

}  // namespace gorsebeam::router
