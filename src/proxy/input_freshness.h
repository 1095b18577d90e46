/// Decides when input that has arrived must be read before the router decides or anything is sent.
///
/// Pure; runs on one thread; the caller passes the time in and does the reading.
#pragma once

#include "gorsebeam/time.h"

namespace gorsebeam::proxy {

/// How old the endpoint list may be on which something is decided or sent. Well within the grace
/// period of a drain, and long enough that reading the list costs little beside the requests.
constexpr Duration kMaxEndpointListAge = 20ms;

/// How old an unread response may be when something is decided: the router counts the role and
/// position in a response as known 0.1 s after the response was written.
constexpr Duration kMaxResponseAge = 40ms;

class InputFreshness {
public:
  /// Whether the endpoint list must be read at `now`. A change counts as notified once it was
  /// written to the gateway, so that nothing may be sent on an older list after a pause of the
  /// process.
  [[nodiscard]] bool is_endpoint_list_stale(TimePoint now) const {
    return now - endpoint_list_read_at_ >= kMaxEndpointListAge;
  }

  void record_endpoint_list_read(TimePoint now) { endpoint_list_read_at_ = now; }

  /// Whether responses must be read at `now`. `earliest_arrival` is that of the input of this
  /// iteration of the event loop (`net::earliest_arrival`): as long as the loop is not stalled, it
  /// reads each response in time by itself.
  [[nodiscard]] bool are_responses_stale(TimePoint now, TimePoint earliest_arrival) const {
    const bool is_stalled = now - earliest_arrival > kMaxResponseAge;
    return is_stalled && now - responses_read_at_ >= kMaxResponseAge;
  }

  void record_responses_read(TimePoint now) { responses_read_at_ = now; }

private:
  TimePoint endpoint_list_read_at_{};
  TimePoint responses_read_at_{};
};

}  // namespace gorsebeam::proxy
