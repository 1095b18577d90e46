#include "router/attempt_starter.h"

#include "router/replication_positions.h"
#include "router/slow_start.h"

namespace gorsebeam::router {

bool AttemptStarter::start(PendingRequest& request, EndpointId id, AttemptKind kind) {
  EndpointState* endpoint = state_.endpoints.find(id);
  if (endpoint == nullptr || !retries_.can_start_attempt(request, *endpoint))
    return false;
  if (!budget_.admits(*endpoint)) {
    request.waits_for = WaitReason::SlowStart;
    return false;
  }
  budget_.spend(*endpoint, request);
  const bool is_recovery = kind == AttemptKind::Recovery;
  const auto traffic = is_recovery ? SlowStartTraffic::RecoveryAttempt : SlowStartTraffic::Attempt;
  record_slow_start_traffic(*endpoint, traffic, state_.settings, state_.event);
  if (is_recovery)
    endpoint->has_recovery_attempt = true;
  const TimePoint now = state_.event.now;
  UpstreamAttempt attempt;
  attempt.endpoint = id;
  attempt.sent_at = now;
  attempt.required_position = required_position(state_.class_of(request), request, now);
  attempt.is_recovery = is_recovery;
  request.attempts.push_back(attempt);
  ++request.in_flight;
  state_.sessions.record_start(request, now);
  state_.event.emit(StartAttempt{request.request.id, id, request.request.deadline - now});
  return true;
}

}  // namespace gorsebeam::router
