#include "endpoint_capacity.h"

#include "overload_slack.h"

#include <algorithm>

namespace fault_soak {

double capacity_fraction(Millis age) {
  const double progress = static_cast<double>(age) / static_cast<double>(kSlowStartDuration);
  return std::min(1.0, kInitialCapacity + (1 - kInitialCapacity) * std::max(0.0, progress));
}

double max_attempts_in_window(Millis age) {
  const double window_seconds = static_cast<double>(kOverloadWindow) / 1000;
  const double budget = kOverloadFactor * capacity_fraction(age) * kFullCapacity * window_seconds;
  return budget + gorsebeam::test_support::overload_slack(budget);
}

}  // namespace fault_soak
