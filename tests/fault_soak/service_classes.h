/// The service classes in the configuration of the fault soak's gateways.
#pragma once

#include "soak_clock.h"

namespace fault_soak {

enum class ServiceClass {
  Idempotent,   ///< Reads that see what their session has written.
  BoundedRead,  ///< Reads of data that is no older than `kMaxStaleness`.
  Keyed,
  SingleShot,
};

[[nodiscard]] constexpr bool is_read(ServiceClass service_class) {
  return service_class == ServiceClass::Idempotent || service_class == ServiceClass::BoundedRead;
}

/// The class's name in the configuration and in requests.
[[nodiscard]] constexpr const char* class_name(ServiceClass service_class) {
  switch (service_class) {
  case ServiceClass::BoundedRead:
    return "bounded";
  case ServiceClass::Keyed:
    return "save";
  case ServiceClass::SingleShot:
    return "once";
  case ServiceClass::Idempotent:
    break;
  }
  return "any";
}

/// How long endpoints discard duplicates of a keyed write, in milliseconds.
constexpr Millis kDeduplicationWindow = 1000;

/// The oldest data that a bounded read may see, in milliseconds.
constexpr Millis kMaxStaleness = 800;

/// The deadlines of the classes, in milliseconds.
constexpr Millis kReadDeadline = 2000;
constexpr Millis kWriteDeadline = 2500;

}  // namespace fault_soak
