#include "arrival_bound.h"

#include "loop_stall.h"

#include <algorithm>

namespace gorsebeam::net {
namespace {

// A poll that takes less time than this may have found input that was ready when the poll began: on
// a busy machine the system call alone takes some milliseconds.
constexpr Duration kMinPollDuration = 10ms;

}  // namespace

// When a poll returns late, the time at which it examined the sockets is unknown: the process may
// have been suspended before or after that.
void LoopArrivalBound::record(const PollTimes& poll) {
  const TimePoint due_at = poll.began_at + poll.timeout;
  const bool is_late = poll.ended_at - kLoopStallThreshold >= due_at;
  const bool returned_at_once = poll.ended_at - poll.began_at < kMinPollDuration;
  const TimePoint polled_at = is_late ? poll.began_at : poll.ended_at;
  earliest_arrival_ = returned_at_once ? last_polled_at_ : polled_at;
  last_polled_at_ = polled_at;
}

void ReadinessBound::record_use(const SocketUse& use) {
  const bool continues = use.iteration <= last_use_iteration_ + 1;
  const bool was_stalled = use.now - earliest_ > kLoopStallThreshold;
  earliest_ =
      continues && was_stalled ? std::min(use.earliest_arrival, earliest_) : use.earliest_arrival;
  last_use_iteration_ = use.iteration;
}

}  // namespace gorsebeam::net
