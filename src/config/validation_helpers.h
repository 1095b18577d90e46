/// Rules that the validations of several messages share.
#pragma once

#include "validation_error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gorsebeam::config {

/// The longest time that a field in milliseconds may hold: one hour.
constexpr std::uint32_t kMaxDurationMs = 3'600'000;

/// False also for what is not a finite number.
[[nodiscard]] bool is_within(double value, double min, double max);

/// `parent` with one more step.
[[nodiscard]] FieldPath append_step(FieldPath parent, const char* field, int index = -1);

/// A name is not empty, is short and cannot break a line of the log.
[[nodiscard]] std::optional<ValidationError> validate_name(const std::string& name,
                                                           const FieldPath& path);

[[nodiscard]] std::optional<ValidationError> validate_generation(std::uint64_t generation,
                                                                 std::uint64_t rolls_back);

}  // namespace gorsebeam::config
