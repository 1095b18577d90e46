/// The rule that an endpoint which has just started must not be sent more than its budget.
#pragma once

#include "soak_clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace fault_soak {

/// Whether the gateway that sent an attempt had been notified of the endpoint's start.
enum class StartKnowledge { Notified, NotNotified };

/// Counts the attempts that arrive at endpoints in slow start within the overload window, whichever
/// gateways they come from. Holds the attempts of one window for each endpoint.
class OverloadRule {
public:
  /// The endpoint's process has started, and is cold.
  void endpoint_started(int endpoint, Millis at);

  /// Records an attempt. Returns what happened if the endpoint fails under it and more than two
  /// thirds of the window's attempts came from gateways that had been notified of its start. An
  /// endpoint fails at most once after each start.
  [[nodiscard]] std::optional<std::string> record_attempt(int endpoint, StartKnowledge knowledge,
                                                          Millis at);

  /// The highest share of its limit that any window of any endpoint has reached.
  [[nodiscard]] double highest_utilization() const { return highest_utilization_; }

private:
  struct Attempt {
    Millis at = 0;
    StartKnowledge knowledge = StartKnowledge::NotNotified;
  };

  struct Endpoint {
    Millis started_at = 0;
    bool has_failed = false;
    std::deque<Attempt> window;
  };

  std::map<int, Endpoint> endpoints_;
  double highest_utilization_ = 0;
};

}  // namespace fault_soak
