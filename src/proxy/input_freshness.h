/// Decides when input that has arrived must be read before the router decides or anything is sent.
///
/// Performs no I/O; the caller passes the time in and reads the input. Runs on one thread.
#pragma once

#include "gorsebeam/time.h"

namespace gorsebeam::proxy {

/// The greatest age of an endpoint list on which something is decided or sent. It is well below the
/// grace period of a drain, and long enough that reading the list costs little compared with the
/// requests.
constexpr Duration kMaxEndpointListAge = 20ms;

/// The greatest age of an unread response when something is decided. It is well below 0.1 s, the
/// time after which the gateway counts as knowing the role and the position in a response that an
/// endpoint has written.
constexpr Duration kMaxResponseAge = 40ms;

class InputFreshness {
public:
  /// Whether the endpoint list must be read at `now`. A change to the list is in force once
  /// discovery wrote it to the gateway's connection, so nothing may be sent on an outdated list
  /// after a pause of the process.
  [[nodiscard]] bool is_endpoint_list_stale(TimePoint now) const {
    return now - endpoint_list_read_at_ >= kMaxEndpointListAge;
  }

  void record_endpoint_list_read(TimePoint now) { endpoint_list_read_at_ = now; }

  /// Whether responses must be read at `now`. `earliest_arrival` is the earliest time at which the
  /// input of this iteration of the event loop can have arrived (`net::earliest_arrival`). The
  /// result is true only if the loop is stalled: otherwise it reads each response in time by
  /// itself.
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
