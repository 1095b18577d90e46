/// The received bytes of one connection, parsed in place.
#pragma once

#include "input_arrival_times.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace gorsebeam::net {

/// The memory that the input and output buffers of all connections use, in bytes. The callers limit
/// it, in addition to the size of each message.
std::size_t total_buffered_bytes();

/// Adds `added` to `total_buffered_bytes` and subtracts `removed`. Only the buffer classes call it.
void count_buffered(std::size_t added, std::size_t removed);

/// Views of the buffer's content stay valid until the next call of a non-const member function.
class InputBuffer {
public:
  InputBuffer() = default;
  InputBuffer(const InputBuffer&) = delete;
  InputBuffer& operator=(const InputBuffer&) = delete;

  ~InputBuffer() { release(); }

  [[nodiscard]] std::string_view view() const { return {bytes_.data() + begin_, end_ - begin_}; }

  [[nodiscard]] std::size_t size() const { return end_ - begin_; }

  /// Drops the first `count` bytes; an empty buffer frees its memory.
  void consume(std::size_t count);

  /// Makes space for at least `min_size` more bytes and returns its address.
  char* reserve_space(std::size_t min_size);

  /// Size of the space that `reserve_space` returned.
  [[nodiscard]] std::size_t free_space() const { return bytes_.size() - end_; }

  /// Adds the first `count` bytes of the space that `reserve_space` returned, which arrived at
  /// `earliest_arrival` at the earliest.
  void append_written(std::size_t count, TimePoint earliest_arrival) {
    end_ += count;
    arrival_times_.append(count, earliest_arrival);
  }

  /// The earliest time at which the first `count` bytes, at least one, can have arrived completely.
  [[nodiscard]] TimePoint earliest_arrival_of_first(std::size_t count) const {
    return arrival_times_.earliest_arrival_of(count - 1);
  }

  /// Drops all bytes and frees the memory.
  void release();

private:
  std::vector<char> bytes_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  InputArrivalTimes arrival_times_;
};

}  // namespace gorsebeam::net
