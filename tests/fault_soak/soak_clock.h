/// The clock of the fault soak.
#pragma once

#include <cstdint>

#include <glib.h>

namespace fault_soak {

using Millis = std::int64_t;

/// Milliseconds of one monotonic clock.
[[nodiscard]] inline Millis now_ms() {
  return g_get_monotonic_time() / 1000;
}

}  // namespace fault_soak
