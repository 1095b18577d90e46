/// Reports violations of the invariants to the operators.
#pragma once

#include "invariant_guard.h"

#include <string>

namespace gorsebeam::proxy {

/// Counts a violation in `guard` and logs it as `invariant_violated`. `request_id` is empty if the
/// violation concerns no request; `endpoint` is 0 if it concerns no endpoint.
void report_violation(InvariantGuard& guard, Violation violation, const std::string& request_id,
                      EndpointId endpoint);

}  // namespace gorsebeam::proxy
