/// Schedules when each open request is looked at, and the one timer of the router.
#pragma once

#include "router/event_context.h"
#include "router/request_table.h"

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace gorsebeam::router {

/// How often requests that wait are looked at; well under any latency objective.
constexpr Duration kSweepInterval = 10ms;

/// Keeps the check times of requests and asks for the earliest as a timer.
class RequestTimers {
public:
  /// `seed` gives this router's first sweep its own phase: routers that start together must not
  /// retry in step. `clock_resolution` is the shortest time between two rounds of events.
  RequestTimers(std::uint64_t seed, Duration clock_resolution);

  /// The time of the next sweep. The phase is used up by the first call.
  [[nodiscard]] TimePoint next_sweep(TimePoint now);

  /// Sets the time at which a request that is not scheduled is checked; kNever: not at all.
  void schedule(PendingRequest& request, TimePoint at);

  /// Removes a request's check time.
  void cancel(PendingRequest& request);

  /// The sequence number of the request whose check is due first, if any is due.
  [[nodiscard]] std::optional<std::uint64_t> first_due(TimePoint now) const;

  /// Asks for the endpoint list at a time; replaces an earlier request to do so.
  void schedule_list_poll(TimePoint at) { list_poll_at_ = at; }

  /// Whether the endpoint list is to be asked for now. It then is no longer scheduled.
  [[nodiscard]] bool consume_due_list_poll(TimePoint now);

  /// Whether the armed timer should have come so long ago that the router itself stood still.
  [[nodiscard]] bool is_long_overdue(TimePoint now) const;

  /// The armed timer came.
  void record_expiry(TimePoint now);

  /// Asks for a timer if the earliest time is before the armed one.
  void arm(const EventContext& event);

private:
  Duration phase_;
  Duration clock_resolution_;
  std::set<std::pair<TimePoint, std::uint64_t>> due_;  // check time and sequence number
  TimePoint list_poll_at_ = kNever;
  TimePoint armed_at_ = kNever;
};

}  // namespace gorsebeam::router
