#include "validation_helpers.h"

#include "validation.h"

#include <cmath>
#include <utility>

namespace gorsebeam::config {

bool is_within(double value, double min, double max) {
  return std::isfinite(value) && value >= min && value <= max;
}

FieldPath append_step(FieldPath parent, const char* field, int index) {
  parent.push_back({field, index});
  return parent;
}

std::optional<ValidationError> validate_name(const std::string& name, const FieldPath& path) {
  constexpr unsigned char kFirstPrintable = 0x20;
  if (name.empty())
    return ValidationError{path, "is missing; give a name"};
  if (name.size() > kMaxNameBytes)
    return ValidationError{path, "is longer than " + std::to_string(kMaxNameBytes) +
                                     " bytes; give a shorter name"};
  for (const char character : name)
    if (static_cast<unsigned char>(character) < kFirstPrintable)
      return ValidationError{path, "holds a control character; leave it out"};
  return std::nullopt;
}

std::optional<ValidationError> validate_generation(std::uint64_t generation,
                                                   std::uint64_t rolls_back) {
  if (rolls_back == 0 || rolls_back > generation)
    return std::nullopt;
  return ValidationError{{{"rolls_back", -1}},
                         "is not above 'generation'; name the newer generation that is taken back"};
}

}  // namespace gorsebeam::config
