/// The operators' slack for chance in the rule on overload of an endpoint in slow start.
#pragma once

#include <cmath>

namespace gorsebeam::test_support {

/// How many requests above `budget` an endpoint takes within one overload window before it fails.
[[nodiscard]] inline double overload_slack(double budget) {
  constexpr double kSmallBudget = 30;
  const double factor = budget < kSmallBudget ? 3 : 2;
  return factor * std::sqrt(budget) + factor;
}

}  // namespace gorsebeam::test_support
