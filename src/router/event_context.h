/// The event that a router is handling: its time and the resulting actions.
#pragma once

#include "gorsebeam/actions.h"
#include "gorsebeam/log_messages.h"
#include "router/time_points.h"

#include <utility>
#include <vector>

namespace gorsebeam::router {

/// Owned by the router's state and updated with each event; other modules hold a reference.
struct EventContext {
  TimePoint now{};
  TimePoint stall_detected_at = kNever;  ///< When the router last noticed that it had been stalled.
  /// The caller's list of actions; set only while an event is handled.
  std::vector<Action>* actions = nullptr;

  /// Whether the router itself was stalled until this event. Latencies that it observes now do not
  /// reflect the endpoints.
  [[nodiscard]] bool is_after_stall() const { return stall_detected_at == now; }

  /// Appends an action. The embedding program performs the actions in this order.
  template <typename AnyAction>
  void emit(AnyAction action) const {
    actions->emplace_back(std::move(action));
  }

  /// Appends a message for the log.
  void log(LogMessage message) const { emit(message); }
};

}  // namespace gorsebeam::router
