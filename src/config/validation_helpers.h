/// Validation rules that several message types share.
#pragma once

#include "validation_error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gorsebeam::config {

/// The longest time that a field in milliseconds may hold: one hour.
constexpr std::uint32_t kMaxDurationMs = 3'600'000;

/// Whether `value` is from `min` to `max`, both included. False for NaN and the infinities.
[[nodiscard]] bool is_within(double value, double min, double max);

/// Returns `parent` with one more step; `index` is the index in a repeated field, else -1.
[[nodiscard]] FieldPath append_step(FieldPath parent, const char* field, int index = -1);

/// A name must not be empty, must be at most `kMaxNameBytes` long and must not contain characters
/// below 0x20 (control characters), which could break a line of the log.
[[nodiscard]] std::optional<ValidationError> validate_name(const std::string& name,
                                                           const FieldPath& path);

/// A rollback must name a generation that is newer than the message's own generation; 0 means that
/// the message rolls nothing back.
[[nodiscard]] std::optional<ValidationError> validate_generation(std::uint64_t generation,
                                                                 std::uint64_t rolls_back);

}  // namespace gorsebeam::config
