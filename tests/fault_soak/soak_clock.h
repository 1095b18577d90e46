/// The monotonic clock that all times of the fault soak refer to.
#pragma once

#include <cstdint>

#include <glib.h>

namespace fault_soak {

/// A duration, or a time of the clock, in milliseconds.
using Millis = std::int64_t;

/// The current time in milliseconds.
[[nodiscard]] inline Millis now_ms() {
  return g_get_monotonic_time() / 1000;
}

}  // namespace fault_soak
