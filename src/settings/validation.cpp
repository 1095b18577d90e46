#include "validation.h"

#include <stdexcept>
#include <string>

namespace gorsebeam::settings {

void check(const Settings& settings) {
  const auto refuse = [](const std::string& what) {
    throw std::invalid_argument("gorsebeam settings: " + what);
  };
  if (settings.classes.empty())
    refuse("classes is empty");
  for (const RequestClass& c : settings.classes) {
    if (c.latency_objective <= 0)
      refuse("classes." + c.name + ".aim is not above zero");
    if (c.max_staleness < 0)
      refuse("classes." + c.name + ".bound is below zero");
    if (c.deadline < c.latency_objective)
      refuse("classes." + c.name + ".deadline is before its aim");
  }
  if (settings.max_attempts < 1)
    refuse("max_attempts is below one");
  if (settings.slow_start_initial_capacity <= 0 || settings.slow_start_initial_capacity > 1)
    refuse("cold_from is not within (0, 1]");
}

}  // namespace gorsebeam::settings
