/// Schedules the checks of open requests and the one timer of the router.
#pragma once

#include "router/event_context.h"
#include "router/request_table.h"

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace gorsebeam::router {

/// The interval between checks of a waiting request; far below any latency objective.
constexpr Duration kRequestCheckInterval = 10ms;

/// Holds the check times of requests and arms a timer for the earliest.
class RequestTimers {
public:
  /// `seed` determines the phase of this router's first sweep, so that routers that start together
  /// do not retry at the same times. `clock_resolution` is the shortest time between two rounds of
  /// events.
  RequestTimers(std::uint64_t seed, Duration clock_resolution);

  /// The time of the next sweep. Only the first call applies the phase.
  [[nodiscard]] TimePoint next_periodic_check(TimePoint now);

  /// Sets the time at which a request that is not scheduled is checked; kNever: not at all.
  void schedule(PendingRequest& request, TimePoint at);

  /// Removes a request's check time.
  void cancel(PendingRequest& request);

  /// The sequence number of the request whose check is due first, if any is due.
  [[nodiscard]] std::optional<std::uint64_t> first_due(TimePoint now) const;

  /// Schedules a poll of the endpoint list, in place of the one scheduled before.
  void schedule_list_poll(TimePoint at) { list_poll_at_ = at; }

  /// Whether a poll of the endpoint list is due. If so, it is no longer scheduled.
  [[nodiscard]] bool consume_due_list_poll(TimePoint now);

  /// Whether the armed timer is so long overdue that the router itself was stalled.
  [[nodiscard]] bool is_long_overdue(TimePoint now) const;

  /// Records that the armed timer expired.
  void record_expiry(TimePoint now);

  /// Emits SetTimer if the earliest check is before the armed timer.
  void arm(const EventContext& event);

private:
  Duration phase_;
  Duration clock_resolution_;
  std::set<std::pair<TimePoint, std::uint64_t>> due_;  // check time and sequence number
  TimePoint list_poll_at_ = kNever;
  TimePoint armed_at_ = kNever;
};

}  // namespace gorsebeam::router
