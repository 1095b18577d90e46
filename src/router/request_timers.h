/// Schedules the checks of open requests, the polls of the endpoint list, and the router's timer.
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

/// Holds the times of checks and polls, and arms the timer for the earliest.
class RequestTimers {
public:
  /// `seed` determines an offset of this router's first check, so that routers that start together
  /// do not retry at the same times. `clock_resolution` is that of the settings.
  RequestTimers(std::uint64_t seed, Duration clock_resolution);

  /// The time of the next check of a waiting request. Only the first call adds the offset.
  [[nodiscard]] TimePoint next_periodic_check(TimePoint now);

  /// Sets the check time of a request that has none; kNever: the request is not checked.
  void schedule(PendingRequest& request, TimePoint at);

  /// Removes a request's check time.
  void cancel(PendingRequest& request);

  /// The sequence number of the request whose check is due first, if any is due.
  [[nodiscard]] std::optional<std::uint64_t> first_due(TimePoint now) const;

  /// Schedules the next poll of the endpoint list, which replaces the one scheduled before.
  void schedule_list_poll(TimePoint at) { list_poll_at_ = at; }

  /// Returns whether a poll of the endpoint list is due. If so, removes it from the schedule.
  [[nodiscard]] bool consume_due_list_poll(TimePoint now);

  /// Whether the armed timer is so long overdue that the router itself must have been stalled.
  [[nodiscard]] bool is_long_overdue(TimePoint now) const;

  /// Records that a timer expired at `now`.
  void record_expiry(TimePoint now);

  /// Emits SetTimer if the earliest check or poll is before the armed timer.
  void arm(const EventContext& event);

private:
  Duration first_check_offset_;
  Duration clock_resolution_;
  std::set<std::pair<TimePoint, std::uint64_t>> due_;  // check time and sequence number
  TimePoint list_poll_at_ = kNever;
  TimePoint armed_at_ = kNever;
};

}  // namespace gorsebeam::router
