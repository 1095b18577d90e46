/// The request router: decides which endpoint gets a request, whether it is retried or hedged, and
/// when it is rejected. Events with their time go in, actions come out; it performs no I/O.
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

/// One router. Has no globals, clock or threads: the same events give the same actions. Not safe
/// for concurrent use. What it keeps is bounded by the open requests, the listed endpoints, and
/// what was removed within the last minute.
class Router {
public:
  /// `seed` feeds its random choices. Throws std::invalid_argument that names a bad setting.
  Router(Settings settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Handles one event at the time `now` and appends what is to be done to `actions`, in order.
  /// `now` must not be before that of the last call.
  void handle(TimePoint now, const Event& event, std::vector<Action>& actions);

  /// Whether an attempt that was decided may still be written to its endpoint. A connection can
  /// come up long after the decision, so this is asked again right before the write. False if the
  /// request has ended, the endpoint is leaving, the time for a retry is over, or the evidence that
  /// the endpoint is current has expired; the attempt then ends as AttemptStatus::NotSent.
  [[nodiscard]] bool is_attempt_allowed(TimePoint now, const std::string& request_id,
                                        EndpointId endpoint);

  /// Whether a health check that was decided may still be written to its endpoint.
  [[nodiscard]] bool is_health_check_allowed(EndpointId endpoint) const;

private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace gorsebeam
