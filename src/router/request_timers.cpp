#include "router/request_timers.h"

#include "router/hashing.h"

#include <algorithm>

namespace gorsebeam::router {

RequestTimers::RequestTimers(std::uint64_t seed, Nanos clock_resolution)
    : phase_(static_cast<Nanos>(mix_hash(seed) % static_cast<std::uint64_t>(kSweepInterval))),
      clock_resolution_(clock_resolution) {}

Nanos RequestTimers::next_sweep(Nanos now) {
  const Nanos sweep = now + std::max(kSweepInterval, clock_resolution_) + phase_;
  phase_ = 0;
  return sweep;
}

void RequestTimers::schedule(PendingRequest& request, Nanos at) {
  request.check_at = at;
  if (at != kNever)
    due_.insert({at, request.sequence});
}

void RequestTimers::cancel(PendingRequest& request) {
  if (request.check_at != kNever)
    due_.erase({request.check_at, request.sequence});
  request.check_at = kNever;
}

std::optional<std::uint64_t> RequestTimers::first_due(Nanos now) const {
  if (due_.empty() || due_.begin()->first > now)
    return std::nullopt;
  return due_.begin()->second;
}

bool RequestTimers::consume_due_list_poll(Nanos now) {
  if (list_poll_at_ > now)
    return false;
  list_poll_at_ = kNever;
  return true;
}

bool RequestTimers::is_long_overdue(Nanos now) const {
  return armed_at_ != kNever && now - armed_at_ > 4 * kSweepInterval;
}

void RequestTimers::record_expiry(Nanos now) {
  // A clock may be coarser than nanoseconds, so its timer may come a little early.
  if (now + clock_resolution_ > armed_at_)
    armed_at_ = kNever;
}

void RequestTimers::arm(const EventContext& event) {
  const Nanos first = due_.empty() ? kNever : due_.begin()->first;
  const Nanos at = std::min(first, list_poll_at_);
  if (armed_at_ <= at)
    return;
  armed_at_ = std::max(at, event.now + clock_resolution_);
  event.emit(SetTimer{armed_at_});
}

}  // namespace gorsebeam::router
