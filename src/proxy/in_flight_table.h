/// The attempts and health checks that are in flight at the upstream, with the time of their start.
///
/// Performs no I/O; the caller passes the time in. Runs on one thread. The table is bounded because
/// the upstream ends each attempt and health check.
#pragma once

#include "interfaces.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace gorsebeam::proxy {

/// One attempt in flight.
struct InFlightAttempt {
  std::string request_id;
  std::uint32_t number = 0;  ///< Counts the attempts of the request from 0.
  EndpointId endpoint = 0;
  TimePoint started_at{};
  std::optional<TimePoint> written_at;  ///< When the broker authorized it; empty until then.
};

class InFlightTable {
public:
  /// Adds an attempt and returns its id, which is not used again.
  [[nodiscard]] AttemptId add_attempt(InFlightAttempt attempt);

  /// Returns the attempt, valid until it is removed, or null if it is not in flight.
  [[nodiscard]] InFlightAttempt* find_attempt(AttemptId attempt);

  /// Removes the attempt and returns it; empty if it is not in flight.
  [[nodiscard]] std::optional<InFlightAttempt> remove_attempt(AttemptId attempt);

  /// Adds a health check. If one to the endpoint is already in flight, it counts as started at
  /// `now`.
  void add_health_check(EndpointId endpoint, TimePoint now);

  /// Removes a health check and returns when it was started; empty if none is in flight.
  [[nodiscard]] std::optional<TimePoint> remove_health_check(EndpointId endpoint);

private:
  AttemptId next_attempt_ = 1;
  std::unordered_map<AttemptId, InFlightAttempt> attempts_;
  std::map<EndpointId, TimePoint> health_checks_;
};

}  // namespace gorsebeam::proxy
