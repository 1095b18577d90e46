/// Slow start: the time after an endpoint's process has started, in which its capacity is limited.
#pragma once

#include "gorsebeam/settings.h"
#include "router/endpoint_table.h"
#include "router/event_context.h"

namespace gorsebeam::router {

/// The fraction of its full capacity that the endpoint has now, in (0, 1].
[[nodiscard]] double slow_start_capacity(const EndpointState& endpoint, const Settings& settings,
                                         TimePoint now);

/// The time within which the attempts at an endpoint in slow start are counted: the overload
/// duration, or one second where the settings give none.
[[nodiscard]] Duration overload_window(const Settings& settings);

/// Begins a slow start of the endpoint at `since`, unless a later one has begun.
void begin_slow_start(EndpointState& endpoint, TimePoint since, SlowStartReason reason,
                      const Settings& settings, const EventContext& event);

/// What an endpoint in slow start was sent, or was not.
enum class SlowStartTraffic { Attempt, RecoveryAttempt, HealthCheck, NotAdmitted };

/// Counts `traffic` if the endpoint is in slow start. Logs the counts at the end of each overload
/// window and of the slow start, with the first call behind that end.
void record_slow_start_traffic(EndpointState& endpoint, SlowStartTraffic traffic,
                               const Settings& settings, const EventContext& event);

}  // namespace gorsebeam::router
