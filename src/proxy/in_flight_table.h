/// The attempts and health checks that are in flight at the upstream, with the time of their start.
///
/// Pure; runs on one thread; the caller passes the time in. The upstream ends each entry, which
/// bounds the table.
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
  std::uint32_t number = 0;  ///< Counted from 0 for each request.
  EndpointId endpoint = 0;
  TimePoint started_at{};
  std::optional<TimePoint> written_at;  ///< Empty until the upstream may write it.
};

class InFlightTable {
public:
  /// Adds an attempt and returns its id, which is not used again.
  [[nodiscard]] AttemptId add_attempt(InFlightAttempt attempt);

  /// Returns the attempt, valid until it is removed, or null if it is not in flight.
  [[nodiscard]] InFlightAttempt* find_attempt(AttemptId attempt);

  /// Removes the attempt and returns it; empty if it is not in flight.
  [[nodiscard]] std::optional<InFlightAttempt> remove_attempt(AttemptId attempt);

  /// Adds a health check, or starts anew the one that is in flight to the endpoint.
  void add_health_check(EndpointId endpoint, TimePoint now);

  /// Removes a health check and returns when it was started; empty if none is in flight.
  [[nodiscard]] std::optional<TimePoint> remove_health_check(EndpointId endpoint);

private:
  AttemptId next_attempt_ = 1;
  std::unordered_map<AttemptId, InFlightAttempt> attempts_;
  std::map<EndpointId, TimePoint> health_checks_;
};

}  // namespace gorsebeam::proxy
