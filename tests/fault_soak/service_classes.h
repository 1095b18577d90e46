/// The service classes in the configuration of the fault soak's gateways.
#pragma once

#include "soak_clock.h"

namespace fault_soak {

enum class ServiceClass { Idempotent, Keyed, SingleShot };

/// The class's name in the configuration and in requests.
[[nodiscard]] constexpr const char* class_name(ServiceClass service_class) {
  switch (service_class) {
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

/// The deadlines of the classes, in milliseconds.
constexpr Millis kReadDeadline = 2000;
constexpr Millis kWriteDeadline = 2500;

}  // namespace fault_soak
