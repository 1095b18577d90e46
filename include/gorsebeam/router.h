/// The request router: decides which endpoint gets a request, whether it is retried or hedged, and
/// when it is rejected. It receives events with their time, returns actions and performs no I/O.
#pragma once

#include "gorsebeam/actions.h"
#include "gorsebeam/events.h"
#include "gorsebeam/settings.h"
#include "gorsebeam/types.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gorsebeam {

/// One router. It has no global state, clock or threads, so the same events yield the same actions.
/// Not thread-safe. Its memory is bounded by the open requests, the listed endpoints, and the
/// endpoints that were removed within the last minute.
class Router {
public:
  /// `seed` determines the router's random choices. Throws std::invalid_argument, whose message
  /// names the invalid setting.
  Router(Settings settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Handles one event at the time `now` and appends the resulting actions to `actions`, in the
  /// order in which the program is to perform them. `now` must not be before that of the last call.
  void handle(TimePoint now, const Event& event, std::vector<Action>& actions);

  /// Whether an attempt that the router started may still be written to its endpoint. A connection
  /// can be established long after the decision, so the program asks again right before the write.
  /// False if the request has ended, its deadline or the time for a retry has passed, the endpoint
  /// is draining or removed, or the evidence that the endpoint is current has expired; the attempt
  /// then ends as AttemptStatus::NotSent.
  [[nodiscard]] bool is_attempt_allowed(TimePoint now, const std::string& request_id,
                                        EndpointId endpoint);

  /// Whether a health check that the router started may still be written to its endpoint.
  [[nodiscard]] bool is_health_check_allowed(EndpointId endpoint) const;

  /// Whether the router holds anything about an endpoint, listed or not. Until it does not, the id
  /// must not be given to another endpoint.
  [[nodiscard]] bool knows_endpoint(EndpointId endpoint) const;

private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace gorsebeam
