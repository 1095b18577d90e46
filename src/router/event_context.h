/// The event that a router handles: its time and the resulting actions.
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
  TimePoint stall_detected_at = kNever;  ///< When a timer last expired far too late.
  std::vector<Action>* actions =
      nullptr;  ///< The caller's list; set only while an event is handled.

  /// Whether the router itself was stalled until this event. Latencies that it observes now say
  /// nothing about the endpoints.
  [[nodiscard]] bool is_after_stall() const { return stall_detected_at == now; }

  /// Appends an action. The caller performs the actions in this order.
  template <typename AnyAction>
  void emit(AnyAction action) const {
    actions->emplace_back(std::move(action));
  }

  /// Appends a message for the operators' log.
  void log(LogMessage message) const { emit(message); }
};

}  // namespace gorsebeam::router
