/// Decides by its generation whether a response may replace the accepted version of its type.
#pragma once

#include "configuration.h"

#include <optional>

namespace gorsebeam::config_versions {

/// Returns why `response` may not replace the running version, or nothing if it may. Only
/// generations are compared, as the version names of a control service have no order.
[[nodiscard]] std::optional<RejectionError>
check_generation_order(const AcceptedVersion& accepted, const DiscoveryResponse& response);

}  // namespace gorsebeam::config_versions
