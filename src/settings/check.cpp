#include "check.h"

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
    if (c.aim <= 0)
      refuse("classes." + c.name + ".aim is not above zero");
    if (c.bound < 0)
      refuse("classes." + c.name + ".bound is below zero");
    if (c.deadline < c.aim)
      refuse("classes." + c.name + ".deadline is before its aim");
  }
  if (settings.max_attempts < 1)
    refuse("max_attempts is below one");
  if (settings.cold_from <= 0 || settings.cold_from > 1)
    refuse("cold_from is not within (0, 1]");
}

}  // namespace gorsebeam::settings
