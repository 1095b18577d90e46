/// Buffers the framed messages of a call that have not been sent yet. It does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace gorsebeam::grpc {

class SendBuffer {
public:
  /// Appends a message with its length prefix.
  void append(std::string_view message);

  /// Moves up to `capacity` bytes from the front of the buffer to `output`, and returns their
  /// number.
  std::size_t read(std::uint8_t* output, std::size_t capacity);

  /// Returns the number of bytes that have not been read yet, including the prefixes.
  [[nodiscard]] std::size_t size() const { return size_; }

private:
  std::deque<std::string> messages_;
  /// The number of bytes of the first message that have been read.
  std::size_t offset_ = 0;
  std::size_t size_ = 0;
};

}  // namespace gorsebeam::grpc
