/// Computes the capacity of an endpoint whose process started a short time ago (slow start).
#pragma once

#include "gorsebeam/settings.h"
#include "router/endpoint_table.h"

namespace gorsebeam::router {

/// The fraction of its full capacity that the endpoint has now, in (0, 1].
[[nodiscard]] double slow_start_capacity(const EndpointState& endpoint, const Settings& settings,
                                         TimePoint now);

}  // namespace gorsebeam::router
