/// Lower bounds for the time at which input arrived, computed from the times of the event loop's
/// polls. Pure.
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

/// When a read from a socket takes place.
struct ReadTime {
  TimePoint now;
  std::uint64_t iteration;
  TimePoint earliest_arrival;  ///< `LoopArrivalBound::earliest_arrival()` in this iteration.
};

/// The lower bound for the arrival of one connection's input. After a stall it may take several
/// iterations to read that input.
class InputArrivalBound {
public:
  /// The connection was accepted in `iteration`; no input can have arrived before
  /// `earliest_arrival`.
  InputArrivalBound(std::uint64_t iteration, TimePoint earliest_arrival)
      : last_input_iteration_(iteration), earliest_arrival_(earliest_arrival) {}

  InputArrivalBound() = default;

  /// Updates the bound at each read. After a stall more input may be ready than one iteration
  /// reads, so the bound does not advance as long as each iteration has input to read.
  void record_read(const ReadTime& read);

  /// Records that reading resumes after a suspension. The bound does not advance at the next read,
  /// as the input may have arrived during the suspension.
  void record_resumed(std::uint64_t iteration) { last_input_iteration_ = iteration; }

  /// The earliest arrival of the input of the last read.
  [[nodiscard]] TimePoint earliest_arrival() const { return earliest_arrival_; }

private:
  std::uint64_t last_input_iteration_ = 0;  ///< The last iteration that had input to read.
  TimePoint earliest_arrival_{};
};

}  // namespace gorsebeam::net
