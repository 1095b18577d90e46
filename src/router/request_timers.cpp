#include "router/request_timers.h"

#include "router/hashing.h"

#include <algorithm>

namespace gorsebeam::router {

RequestTimers::RequestTimers(std::uint64_t seed, Duration clock_resolution)
    : first_check_offset_(mix_hash(seed) %
                          static_cast<std::uint64_t>(kRequestCheckInterval.count())),
      clock_resolution_(clock_resolution) {}

TimePoint RequestTimers::next_periodic_check(TimePoint now) {
  const TimePoint check_at =
      now + std::max(kRequestCheckInterval, clock_resolution_) + first_check_offset_;
  first_check_offset_ = 0ms;
  return check_at;
}

void RequestTimers::schedule(PendingRequest& request, TimePoint at) {
  request.check_at = at;
  if (at != kNever)
    due_.insert({at, request.sequence});
}

void RequestTimers::cancel(PendingRequest& request) {
  if (request.check_at != kNever)
    due_.erase({request.check_at, request.sequence});
  request.check_at = kNever;
}

std::optional<std::uint64_t> RequestTimers::first_due(TimePoint now) const {
  if (due_.empty() || due_.begin()->first > now)
    return std::nullopt;
  return due_.begin()->second;
}

bool RequestTimers::consume_due_list_poll(TimePoint now) {
  if (list_poll_at_ > now)
    return false;
  list_poll_at_ = kNever;
  return true;
}

bool RequestTimers::is_long_overdue(TimePoint now) const {
  return armed_at_ != kNever && now - armed_at_ > 4 * kRequestCheckInterval;
}

void RequestTimers::record_expiry(TimePoint now) {
  // If the clock is coarser than nanoseconds, the timer may expire slightly early.
  if (now + clock_resolution_ > armed_at_)
    armed_at_ = kNever;
}

void RequestTimers::arm(const EventContext& event) {
  const TimePoint first = due_.empty() ? kNever : due_.begin()->first;
  const TimePoint at = std::min(first, list_poll_at_);
  if (armed_at_ <= at)
    return;
  armed_at_ = std::max(at, event.now + clock_resolution_);
  event.emit(SetTimer{armed_at_});
}

}  // namespace gorsebeam::router
