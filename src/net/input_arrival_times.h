/// The earliest arrival of each byte of a connection's unconsumed input. Pure.
///
/// Input may be handled long after it was read: behind an earlier request, behind output that the
/// peer does not read, or in a later iteration of the event loop. Its age counts from its arrival.
#pragma once

#include "gorsebeam/time.h"

#include <cstddef>
#include <vector>

namespace gorsebeam::net {

/// Holds a bounded number of times; where there are more, bytes count as arrived earlier than they
/// can have.
class InputArrivalTimes {
public:
  /// Adds `size` bytes behind the others, which arrived at `earliest_arrival` at the earliest.
  void append(std::size_t size, TimePoint earliest_arrival);

  /// Drops the first `size` bytes.
  void consume(std::size_t size);

  /// Drops all bytes.
  void clear() { runs_.clear(); }

  /// The earliest arrival of the byte at `offset`, which has to be one of the bytes held.
  [[nodiscard]] TimePoint earliest_arrival_of(std::size_t offset) const;

private:
  /// Consecutive bytes with the same earliest arrival.
  struct Run {
    std::size_t size = 0;
    TimePoint earliest_arrival{};
  };

  void merge_closest_runs();

  std::vector<Run> runs_;
};

}  // namespace gorsebeam::net
