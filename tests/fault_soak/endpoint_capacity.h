/// How much the fake endpoints can serve, and how much an endpoint that has just started may be
/// sent.
#pragma once

#include "soak_clock.h"

namespace fault_soak {

/// The number of requests that an endpoint serves at the same time.
constexpr int kWorkers = 3;
/// The time for which a request occupies a worker at full capacity is uniform between these.
constexpr Millis kMinServiceTime = 20;
constexpr Millis kMaxServiceTime = 80;
constexpr double kMeanServiceTime = (kMinServiceTime + kMaxServiceTime) / 2.0;
/// An endpoint rejects a request if so many wait for a worker.
constexpr int kMaxQueueLength = 40;

/// The settings of the gateways' configuration about endpoints that have just started.
constexpr Millis kSlowStartDuration = 8000;
constexpr double kInitialCapacity = 0.16;
constexpr Millis kOverloadWindow = 1000;
constexpr double kOverloadFactor = 2;

/// The requests per second that an endpoint serves at full capacity.
constexpr double kFullCapacity = 1000.0 * kWorkers / kMeanServiceTime;

/// The fraction of its full capacity that an endpoint has `age` after its start.
[[nodiscard]] double capacity_fraction(Millis age);

/// The number of attempts above which an endpoint fails if they arrive within one overload window
/// that ends `age` after its start. Includes the operators' slack for chance.
[[nodiscard]] double max_attempts_in_window(Millis age);

}  // namespace fault_soak
