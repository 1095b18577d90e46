#include "in_flight_table.h"

#include <utility>

namespace gorsebeam::proxy {

AttemptId InFlightTable::add_attempt(InFlightAttempt attempt) {
  const AttemptId id = next_attempt_++;
  attempts_.emplace(id, std::move(attempt));
  return id;
}

InFlightAttempt* InFlightTable::find_attempt(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? nullptr : &found->second;
}

std::optional<InFlightAttempt> InFlightTable::remove_attempt(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end())
    return std::nullopt;
  InFlightAttempt removed = std::move(found->second);
  attempts_.erase(found);
  return removed;
}

void InFlightTable::add_health_check(EndpointId endpoint, TimePoint now) {
  health_checks_[endpoint] = now;
}

std::optional<TimePoint> InFlightTable::remove_health_check(EndpointId endpoint) {
  const auto found = health_checks_.find(endpoint);
  if (found == health_checks_.end())
    return std::nullopt;
  const TimePoint started_at = found->second;
  health_checks_.erase(found);
  return started_at;
}

}  // namespace gorsebeam::proxy
