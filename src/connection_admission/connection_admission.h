/// Which idle client connections are closed to make room for others.
///
/// The module is pure: it takes what is known of the connections and returns an order of closing;
/// it reads no clock and does no I/O. A connection may be closed at any time between two requests,
/// but a close that crosses a request on its way costs the client a new connection. So a connection
/// is kept the longer, the likelier its client is to use it again.
#pragma once

#include "gorsebeam/router.h"

#include <cstddef>
#include <vector>

namespace gorsebeam::connection_admission {

/// A connection between two requests.
struct IdleConnection {
  std::size_t index = 0;              ///< Chosen by the caller, who gets it back.
  TimePoint idle_since{};             ///< When its state last changed, on the clock of `now`.
  std::size_t answered_requests = 0;  ///< Requests answered on it; 2 stands for 2 or more.
};

/// A connection that may be closed, as long as there are too many.
struct CloseCandidate {
  std::size_t index = 0;  ///< As in `IdleConnection`.
  std::size_t above = 0;  ///< It is closed only while more connections than these are open.
};

/// Ranks the connections that may be closed when a new one finds no capacity; the caller closes at
/// most one, the first that it can. Connections without a request come first, then the longest
/// idle. A connection whose state changed within the last 50 ms is left out, as a request may be on
/// its way.
[[nodiscard]] std::vector<std::size_t> rank_evictable(std::vector<IdleConnection> idle,
                                                      TimePoint now);

/// Ranks the connections that may be closed at any time, out of `connected` with a maximum of
/// `max_connections`. In order:
///  - while all capacity is in use, those without a request, idle for 0.2 s;
///  - above a quarter of the capacity, those idle for 2.05 s;
///  - above half of it, those with a single request, idle for 0.1 s.
/// Clients that ask once and stay must not use up the capacity of others, and clients may often
/// open fewer connections than this gateway accepts.
[[nodiscard]] std::vector<CloseCandidate> rank_surplus(std::vector<IdleConnection> idle,
                                                       TimePoint now, std::size_t connected,
                                                       std::size_t max_connections);

/// Nanoseconds until `rank_surplus` is to be called again: 50 ms while more than half of the
/// capacity is in use, 200 ms otherwise.
[[nodiscard]] Duration surplus_check_interval(std::size_t connected, std::size_t max_connections);

}  // namespace gorsebeam::connection_admission
