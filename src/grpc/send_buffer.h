/// The framed messages of a call that are not sent yet. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace gorsebeam::grpc {

class SendBuffer {
public:
  /// Adds a message with its prefix.
  void append(std::string_view message);

  /// Moves up to `capacity` bytes from the front to `output`; returns their number.
  std::size_t read(std::uint8_t* output, std::size_t capacity);

  /// Returns the number of bytes that are not read yet, with the prefixes.
  [[nodiscard]] std::size_t size() const { return size_; }

private:
  std::deque<std::string> messages_;
  /// Bytes of the first message that have been read.
  std::size_t offset_ = 0;
  std::size_t size_ = 0;
};

}  // namespace gorsebeam::grpc
