#include "input_buffer.h"

#include <algorithm>
#include <cstring>

namespace gorsebeam::net {
namespace {

std::size_t buffered_bytes = 0;

}  // namespace

std::size_t total_buffered_bytes() {
  return buffered_bytes;
}

void count_buffered(std::size_t added, std::size_t removed) {
  buffered_bytes += added;
  buffered_bytes -= removed;
}

// An empty buffer frees its memory at once, because hundreds of connections may be idle at the same
// time.
void InputBuffer::consume(std::size_t count) {
  begin_ += count;
  arrival_times_.consume(count);
  if (begin_ >= end_)
    release();
}

void InputBuffer::release() {
  begin_ = 0;
  end_ = 0;
  count_buffered(0, bytes_.size());
  std::vector<char>().swap(bytes_);
  arrival_times_.clear();
}

char* InputBuffer::reserve_space(std::size_t min_size) {
  if (free_space() < min_size && begin_ > 0) {
    std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  if (free_space() < min_size) {
    const std::size_t previous_size = bytes_.size();
    bytes_.resize(std::max(bytes_.size() * 2, end_ + min_size));
    count_buffered(bytes_.size(), previous_size);
  }
  return bytes_.data() + end_;
}

}  // namespace gorsebeam::net
