/// Translates the end of an attempt at the upstream to the router's event.
#pragma once

#include "in_flight_table.h"
#include "interfaces.h"

#include "gorsebeam/events.h"

namespace gorsebeam::proxy {

/// Returns the event for `attempt`, which ended with `response` at `now`. Whether its request is
/// finished is not set.
[[nodiscard]] AttemptResult make_attempt_result(const InFlightAttempt& attempt,
                                                const UpstreamResponse& response, TimePoint now);

/// Logs an attempt that ended without a good answer.
void log_failed_attempt(const AttemptResult& result);

}  // namespace gorsebeam::proxy
