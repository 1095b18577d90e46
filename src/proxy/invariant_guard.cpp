#include "invariant_guard.h"

namespace gorsebeam::proxy {

const char* name_of(Violation violation) {
  switch (violation) {
  case Violation::EndpointDraining:
    return "endpoint_draining";
  case Violation::EndpointUnknown:
    return "endpoint_unknown";
  case Violation::SecondInFlight:
    return "second_in_flight";
  case Violation::AttemptAfterEnd:
    return "attempt_after_end";
  case Violation::RetryNotAllowed:
    return "retry_not_allowed";
  case Violation::AttemptsExceeded:
    return "attempts_exceeded";
  case Violation::UnsafeRejection:
    return "unsafe_rejection";
  case Violation::ClosedUnanswered:
    return "closed_unanswered";
  }
  return "unknown";
}

// If removed endpoints may serve, an endpoint that is removed without a drain keeps its status.
void InvariantGuard::record_listed(EndpointId endpoint, GroupId group, EndpointStatus status) {
  ListedEndpointState& state = endpoints_[endpoint];
  state.group = group;
  if (status == EndpointStatus::Removed && settings_.removed_endpoints_may_serve)
    return;
  state.status = status;
}

std::optional<Violation> InvariantGuard::check_endpoint(EndpointId endpoint) const {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end())
    return Violation::EndpointUnknown;
  if (found->second.status != EndpointStatus::Up)
    return Violation::EndpointDraining;
  return std::nullopt;
}

std::optional<Violation> InvariantGuard::check_attempt(const RequestHistory& request,
                                                       EndpointId endpoint, TimePoint now) const {
  if (const auto violation = check_endpoint(endpoint))
    return violation;
  if (endpoints_.at(endpoint).group != request.group)
    return Violation::EndpointUnknown;
  if (!request.is_open)
    return Violation::AttemptAfterEnd;
  if (request.in_flight > 0 && !settings_.hedging_allowed)
    return Violation::SecondInFlight;
  if (request.written_attempts >= settings_.max_attempts)
    return Violation::AttemptsExceeded;
  if (!is_safe_to_retry(request, now))
    return Violation::RetryNotAllowed;
  return std::nullopt;
}

bool InvariantGuard::is_safe_to_retry(const RequestHistory& request, TimePoint now) const {
  if (!request.may_have_run_since)
    return true;
  const RequestClass& request_class = settings_.classes.at(request.class_index);
  switch (request_class.idempotency) {
  case Idempotency::Idempotent:
    return true;
  case Idempotency::NotIdempotent:
    return false;
  case Idempotency::IdempotencyKey:
    return now - *request.may_have_run_since < request_class.deduplication_window;
  }
  return false;
}

std::optional<Violation> InvariantGuard::check_rejection(const RequestHistory& request) const {
  if (!request.may_have_run_since)
    return std::nullopt;
  const RequestClass& request_class = settings_.classes.at(request.class_index);
  const bool is_safe = request_class.idempotency == Idempotency::Idempotent ||
                       (request_class.idempotency == Idempotency::IdempotencyKey &&
                        request_class.deduplication_scope == DeduplicationScope::All);
  if (is_safe)
    return std::nullopt;
  return Violation::UnsafeRejection;
}

}  // namespace gorsebeam::proxy
