/// Lower bounds for the time at which input arrived or output could be written, computed from the
/// times of the event loop's polls. Pure.
///
/// If the event loop was stalled, input may have arrived long before it is read. Deadlines and the
/// age of input therefore count from the earliest time at which the input can have arrived, not
/// from the time of the read.
#pragma once

#include "gorsebeam/time.h"

#include <cstdint>

namespace gorsebeam::net {

/// The times of one poll that returned because sockets were ready or its timeout passed. A poll
/// that a signal interrupted does not count, as it has not examined the sockets.
struct PollTimes {
  TimePoint began_at;
  TimePoint ended_at;
  Duration timeout;
};

/// The lower bound for the arrival of input on any socket that the event loop polls.
class LoopArrivalBound {
public:
  /// No input can have arrived before `start`.
  explicit LoopArrivalBound(TimePoint start) : last_polled_at_(start), earliest_arrival_(start) {}

  void record(const PollTimes& poll);

  /// The earliest arrival of input that was ready at the end of the last poll. It is
  ///  - the end of that poll, if it waited and returned in time;
  ///  - the beginning of that poll, if it returned late: the process did not run, and the input may
  ///    have arrived at any time since;
  ///  - the time at which the previous poll examined the sockets, if the last poll returned at
  ///    once: the input may have been ready when the last poll began.
  [[nodiscard]] TimePoint earliest_arrival() const { return earliest_arrival_; }

private:
  TimePoint last_polled_at_;  ///< Polls up to this time have found all input that arrived earlier.
  TimePoint earliest_arrival_;
};

/// When a socket that the event loop found ready is read from or written to.
struct SocketUse {
  TimePoint now;
  std::uint64_t iteration;
  TimePoint earliest_arrival;  ///< `LoopArrivalBound::earliest_arrival()` in this iteration.
};

/// The lower bound for the time since which one connection is readable, so that its input can have
/// arrived, or writable. After a stall it may take several iterations to read that input or to
/// write the output.
class ReadinessBound {
public:
  /// The connection was accepted in `iteration`, and was not ready before `earliest`.
  ReadinessBound(std::uint64_t iteration, TimePoint earliest)
      : last_use_iteration_(iteration), earliest_(earliest) {}

  ReadinessBound() = default;

  /// Updates the bound at each use. After a stall there may be more to read or to write than one
  /// iteration does, so the bound does not advance as long as each iteration finds the socket
  /// ready.
  void record_use(const SocketUse& use);

  /// Records that the event loop polls the socket again after a suspension. The bound does not
  /// advance at the next use, as the socket may have become ready during the suspension.
  void record_resumed(std::uint64_t iteration) { last_use_iteration_ = iteration; }

  /// The earliest time since which the socket can have been ready at its last use.
  [[nodiscard]] TimePoint earliest() const { return earliest_; }

private:
  std::uint64_t last_use_iteration_ = 0;  ///< The last iteration that found the socket ready.
  TimePoint earliest_{};
};

}  // namespace gorsebeam::net
