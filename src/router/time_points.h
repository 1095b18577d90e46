/// Special points in time that the router's modules share.
#pragma once

#include "gorsebeam/time.h"

namespace gorsebeam::router {

/// Stands for a point in time that is not known. Less than all others.
constexpr TimePoint kUnknownTime = TimePoint::min();

/// Stands for a replication position that is not known. Less than all others.
constexpr ReplicationPosition kUnknownPosition = ReplicationPosition::min();

}  // namespace gorsebeam::router
