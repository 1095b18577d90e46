#include "validation_error.h"

namespace gorsebeam::config {

std::string ValidationError::to_string() const {
  std::string location;
  for (const FieldStep& step : path) {
    if (!location.empty())
      location += '.';
    location += step.field;
    if (step.index >= 0)
      location += '[' + std::to_string(step.index) + ']';
  }
  return location.empty() ? message : location + ": " + message;
}

}  // namespace gorsebeam::config
