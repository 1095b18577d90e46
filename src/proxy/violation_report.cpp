#include "violation_report.h"

#include "net/log.h"

namespace gorsebeam::proxy {

void report_violation(InvariantGuard& guard, Violation violation, const std::string& request_id,
                      EndpointId endpoint) {
  guard.count(violation);
  net::log({"invariant_violated",
            {{"rule", name_of(violation)},
             {"request", request_id},
             {"endpoint", std::to_string(endpoint)},
             {"count", std::to_string(guard.count_of(violation))}}});
}

}  // namespace gorsebeam::proxy
