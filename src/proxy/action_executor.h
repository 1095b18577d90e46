/// Performs the actions that the router decided on.
///
/// Runs on one thread. Whatever the router decides, a request that is not open gets no attempt, no
/// two attempts of a request are in flight at once, and no request gets a second final answer.
#pragma once

#include "event_queue.h"
#include "in_flight_table.h"
#include "interfaces.h"
#include "invariant_guard.h"
#include "net/timer.h"
#include "request_tracker.h"

#include <cstdint>

namespace gorsebeam::proxy {

class ActionExecutor {
public:
  /// Borrows all arguments, which must outlive the executor. `timer` fires at the time of the last
  /// `SetTimer`.
  ActionExecutor(RequestTracker& requests, InFlightTable& in_flight, EventQueue& queue,
                 InvariantGuard& guard, net::Timer& timer)
      : requests_(requests), in_flight_(in_flight), queue_(queue), guard_(guard), timer_(timer) {}

  /// Sets the upstream, which is borrowed. Call it once, before `perform`.
  void attach(Upstream& upstream) { upstream_ = &upstream; }

  /// Performs one action. Attempts may end and requests may get their final answer inside this
  /// function.
  void perform(const Action& action);

private:
  // One overload for each kind of action.
  void execute(const StartAttempt& action);
  void execute(const SendHealthCheck& action);
  void execute(const CancelAttempt& action);
  void execute(const RejectRequest& action);
  void execute(const FailRequest& action);
  void execute(const SetTimer& action);
  static void execute(const WatchEndpoints& action);
  static void execute(const LogMessage& message);

  /// Queues the result `NotSent` for an attempt that is not started, because its request is not
  /// open or has another attempt in flight.
  void skip_attempt(const StartAttempt& action, std::uint32_t number, bool request_finished);

  RequestTracker& requests_;
  InFlightTable& in_flight_;
  EventQueue& queue_;
  InvariantGuard& guard_;
  net::Timer& timer_;
  Upstream* upstream_ = nullptr;
};

}  // namespace gorsebeam::proxy
