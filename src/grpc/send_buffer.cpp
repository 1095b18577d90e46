#include "send_buffer.h"

#include "message_framing.h"

#include <algorithm>

namespace gorsebeam::grpc {

void SendBuffer::append(std::string_view message) {
  messages_.push_back(frame_message(message));
  size_ += messages_.back().size();
}

std::size_t SendBuffer::read(std::uint8_t* output, std::size_t capacity) {
  std::size_t done = 0;
  while (done < capacity && !messages_.empty()) {
    const std::string& first = messages_.front();
    const std::size_t part = std::min(capacity - done, first.size() - offset_);
    std::copy_n(first.data() + offset_, part, output + done);
    done += part;
    offset_ += part;
    size_ -= part;
    if (offset_ == first.size()) {
      messages_.pop_front();
      offset_ = 0;
    }
  }
  return done;
}

}  // namespace gorsebeam::grpc
