/// Selects the idle client connections that are closed to make room for others.
///
/// Performs no I/O: it receives descriptions of connections and returns an order of closing. A
/// connection may be closed at any time between two requests, but if a request is in transit at
/// that time, the client has to open a new connection. A connection is therefore kept longer if its
/// client is likely to use it again.
#pragma once

#include "gorsebeam/router.h"

#include <cstddef>
#include <vector>

namespace gorsebeam::connection_admission {

/// A connection without a pending request.
struct IdleConnection {
  std::size_t index = 0;              ///< Chosen by the caller; the results refer to it.
  TimePoint idle_since{};             ///< When the connection last made progress.
  std::size_t answered_requests = 0;  ///< Requests answered on it; 2 stands for 2 or more.
};

/// A connection that may be closed while too many are open.
struct CloseCandidate {
  std::size_t index = 0;        ///< As in `IdleConnection`.
  std::size_t close_above = 0;  ///< It is closed only while more connections than this are open.
};

/// Ranks the connections that may be closed when a new one finds no capacity; the caller closes the
/// first one that has no unread input. Connections without an answered request come first, then
/// those that have been idle longest. A connection that made progress within the last 50 ms is left
/// out, because a request may be in transit.
[[nodiscard]] std::vector<std::size_t> rank_evictable(std::vector<IdleConnection> idle,
                                                      TimePoint now);

/// Ranks the connections that may be closed even if no new connection needs the capacity, while
/// `connected` connections are open and `max_connections` are the limit. They are, in this order:
///  - while all capacity is in use, those without an answered request, idle for 0.2 s;
///  - above a quarter of the capacity, those idle for 2.05 s;
///  - above half of the capacity, those with one answered request, idle for 0.1 s.
/// Clients that send one request and keep the connection must not use up the capacity of others,
/// and clients are often allowed fewer connections than this gateway accepts.
[[nodiscard]] std::vector<CloseCandidate> rank_surplus(std::vector<IdleConnection> idle,
                                                       TimePoint now, std::size_t connected,
                                                       std::size_t max_connections);

/// The time until `rank_surplus` is to be called again: 50 ms while more than half of the capacity
/// is in use, 200 ms otherwise.
[[nodiscard]] Duration surplus_check_interval(std::size_t connected, std::size_t max_connections);

}  // namespace gorsebeam::connection_admission
