#include "send_buffer.h"

#include "message_framing.h"

#include <algorithm>

namespace gorsebeam::grpc {

void SendBuffer::append(std::string_view message) {
  messages_.push_back(frame_message(message));
  size_ += messages_.back().size();
}

std::size_t SendBuffer::read(std::uint8_t* output, std::size_t capacity) {
  std::size_t copied = 0;
  while (copied < capacity && !messages_.empty()) {
    const std::string& first = messages_.front();
    const std::size_t chunk_size = std::min(capacity - copied, first.size() - offset_);
    std::copy_n(first.data() + offset_, chunk_size, output + copied);
    copied += chunk_size;
    offset_ += chunk_size;
    size_ -= chunk_size;
    if (offset_ == first.size()) {
      messages_.pop_front();
      offset_ = 0;
    }
  }
  return copied;
}

}  // namespace gorsebeam::grpc
