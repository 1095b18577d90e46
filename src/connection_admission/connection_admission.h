// Which idle connection makes room for others. Pure: what is known of the connections in, the order
// of closing out; no clock, no I/O. A close between requests is allowed at any time, but one that
// crosses a request costs its client a new connection, so it is put off the longer, the likelier
// the connection is to be used again.
#pragma once

#include "gorsebeam/router.h"

#include <cstddef>
#include <vector>

namespace gorsebeam::connection_admission {

struct IdleConnection {      // a connection between requests
  std::size_t index = 0;     // the caller's, given back
  Nanos since = 0;           // when it last moved on; module time, ns
  std::size_t answered = 0;  // requests of it that were answered, 2 standing for more
};

struct CloseCandidate {
  std::size_t index = 0;
  std::size_t above = 0;  // to be closed only while more than these are connected
};

// Where a new connection finds none free: at most one is to be closed, the first that can be. Those
// that never asked come first, then the one idle longest; none that moved within 50 ms, as its
// request may be on the way.
std::vector<std::size_t> room_for_new(std::vector<IdleConnection> idle, Nanos now);

// At any time, `most` being how many may be connected. In order: while all are in use, those that
// never asked, after 0.2 s; above a quarter, those idle for 2 s; above half, those that asked once,
// after 0.1 s. Clients that ask once and stay must not use up what others need, and what clients
// may open is often less than what may connect here.
std::vector<CloseCandidate> retire(std::vector<IdleConnection> idle, Nanos now,
                                   std::size_t connected, std::size_t most);

// When to ask retire() again, in ns: sooner while more than half are connected.
Nanos again(std::size_t connected, std::size_t most);

}  // namespace gorsebeam::connection_admission
