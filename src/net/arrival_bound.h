/// Lower bounds for the time at which input arrived, computed from the times of the main loop's
/// polls. Pure.
///
/// The time at which bytes are read says little about when they arrived if the loop was stalled in
/// between. Deadlines and the age of input count from the earliest time at which the input can have
/// arrived.
#pragma once

#include "gorsebeam/time.h"

#include <cstdint>

namespace gorsebeam::net {

/// A poll that returned because sockets were ready or its timeout passed; one that a signal
/// interrupted has not examined the sockets.
struct PollTimes {
  TimePoint began_at;
  TimePoint ended_at;
  Duration timeout;
};

/// The bound for input on any socket that the loop polls.
class LoopArrivalBound {
public:
  /// Input arrives from `start` on.
  explicit LoopArrivalBound(TimePoint start) : last_polled_at_(start), earliest_arrival_(start) {}

  void record(const PollTimes& poll);

  /// The earliest arrival of input that was ready at the end of the last poll:
  ///  - the end of that poll, if it waited and returned in time;
  ///  - the beginning of that poll, if it returned late: the process did not run, and the input may
  ///    have arrived at any time since;
  ///  - the time of the poll before, if the last poll returned at once, as the input may have been
  ///    ready when it began.
  [[nodiscard]] TimePoint earliest_arrival() const { return earliest_arrival_; }

private:
  TimePoint last_polled_at_;  ///< Input that arrived before was found by an earlier poll.
  TimePoint earliest_arrival_;
};

/// What the loop knows at a read.
struct ReadTime {
  TimePoint now;
  std::uint64_t iteration;
  TimePoint earliest_arrival;  ///< The loop's bound in this iteration.
};

/// The bound for the input of one connection, which may take several iterations to read.
class InputArrivalBound {
public:
  /// The connection exists since `iteration`, and its input arrives from `earliest_arrival` on.
  InputArrivalBound(std::uint64_t iteration, TimePoint earliest_arrival)
      : last_input_iteration_(iteration), earliest_arrival_(earliest_arrival) {}

  InputArrivalBound() = default;

  /// Called at each read. After a stall more may be ready than one iteration reads: the bound is
  /// kept while there is input in each iteration.
  void record_read(const ReadTime& read);

  /// Reading resumes after it was suspended: input may have waited during the suspension.
  void record_resumed(std::uint64_t iteration) { last_input_iteration_ = iteration; }

  /// The earliest arrival of the input of the last read.
  [[nodiscard]] TimePoint earliest_arrival() const { return earliest_arrival_; }

private:
  std::uint64_t last_input_iteration_ = 0;  ///< The last one that had input to read.
  TimePoint earliest_arrival_{};
};

}  // namespace gorsebeam::net
