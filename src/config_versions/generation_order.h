/// Decides whether a response may replace the accepted version of its type.
#pragma once

#include "configuration.h"

#include <optional>

namespace gorsebeam::config_versions {

/// Returns why `response` may not replace what runs, or nothing if it may. Generations have an
/// order; the version names of a control service have none.
[[nodiscard]] std::optional<RejectionError>
check_generation_order(const AcceptedVersion& accepted, const DiscoveryResponse& response);

}  // namespace gorsebeam::config_versions
