#include "configuration.h"

namespace gorsebeam::config_versions {

const char* resource_type_name(ResourceType type) {
  switch (type) {
  case ResourceType::Contracts:
    return "contracts";
  case ResourceType::Members:
    return "members";
  case ResourceType::Limits:
    return "limits";
  }
  return "unknown";
}

}  // namespace gorsebeam::config_versions
