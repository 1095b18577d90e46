#include "router/slow_start.h"

#include <algorithm>

namespace gorsebeam::router {

double slow_start_capacity(const EndpointState& endpoint, const Settings& settings, TimePoint now) {
  if (endpoint.slow_start_since == kUnknownTime || settings.slow_start_duration <= 0ns)
    return 1;
  const double progress = ratio(now - endpoint.slow_start_since, settings.slow_start_duration);
  if (progress >= 1)
    return 1;
  const double initial = settings.slow_start_initial_capacity;
  return initial + (1 - initial) * std::max(0.0, progress);
}

}  // namespace gorsebeam::router
