#include "router/slow_start.h"

#include <algorithm>

namespace gorsebeam::router {
namespace {

// The overload window where the settings give none.
constexpr Duration kDefaultWindow = 1000ms;

void add(SlowStartCounts& counts, SlowStartTraffic traffic) {
  switch (traffic) {
  case SlowStartTraffic::RecoveryAttempt:
    ++counts.recovery_attempts;
    ++counts.attempts;
    return;
  case SlowStartTraffic::Attempt:
    ++counts.attempts;
    return;
  case SlowStartTraffic::HealthCheck:
    ++counts.health_checks;
    return;
  case SlowStartTraffic::NotAdmitted:
    ++counts.not_admitted;
    return;
  }
}

}  // namespace

double slow_start_capacity(const EndpointState& endpoint, const Settings& settings, TimePoint now) {
  if (endpoint.slow_start_since == kUnknownTime || settings.slow_start_duration <= 0ns)
    return 1;
  const double progress = ratio(now - endpoint.slow_start_since, settings.slow_start_duration);
  if (progress >= 1)
    return 1;
  const double initial = settings.slow_start_initial_capacity;
  return initial + (1 - initial) * std::max(0.0, progress);
}

Duration overload_window(const Settings& settings) {
  return settings.overload_duration > 0ms ? settings.overload_duration : kDefaultWindow;
}

void begin_slow_start(EndpointState& endpoint, TimePoint since, SlowStartReason reason,
                      const Settings& settings, const EventContext& event) {
  if (since <= endpoint.slow_start_since)
    return;
  endpoint.slow_start_since = since;
  const double capacity = slow_start_capacity(endpoint, settings, event.now);
  if (capacity >= 1)
    return;
  endpoint.slow_start = SlowStartActivity{};
  endpoint.slow_start.is_active = true;
  endpoint.slow_start.window_began_at = event.now;
  event.log(SlowStartBegan{endpoint.listing.id, reason, event.now - since, capacity});
}

void record_slow_start_traffic(EndpointState& endpoint, SlowStartTraffic traffic,
                               const Settings& settings, const EventContext& event) {
  SlowStartActivity& activity = endpoint.slow_start;
  if (!activity.is_active)
    return;
  const double capacity = slow_start_capacity(endpoint, settings, event.now);
  if (capacity >= 1 || event.now - activity.window_began_at >= overload_window(settings)) {
    event.log(SlowStartWindow{endpoint.listing.id, capacity, activity.window});
    activity.window_began_at = event.now;
    activity.window = SlowStartCounts{};
  }
  if (capacity >= 1) {
    event.log(SlowStartEnded{endpoint.listing.id, activity.total});
    activity = SlowStartActivity{};
    return;
  }
  add(activity.window, traffic);
  add(activity.total, traffic);
}

}  // namespace gorsebeam::router
