#include "endpoint_capacity.h"

#include <algorithm>
#include <cmath>

namespace fault_soak {
namespace {

// The operators' slack depends on whether the budget is below this number of requests.
constexpr double kSmallBudget = 30;

}  // namespace

double capacity_fraction(Millis age) {
  const double progress = static_cast<double>(age) / static_cast<double>(kSlowStartDuration);
  return std::min(1.0, kInitialCapacity + (1 - kInitialCapacity) * std::max(0.0, progress));
}

double max_attempts_in_window(Millis age) {
  const double window_seconds = static_cast<double>(kOverloadWindow) / 1000;
  const double budget = kOverloadFactor * capacity_fraction(age) * kFullCapacity * window_seconds;
  const double factor = budget < kSmallBudget ? 3 : 2;
  return budget + factor * std::sqrt(budget) + factor;
}

}  // namespace fault_soak
