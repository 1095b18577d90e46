/// The output of one connection that the kernel has not accepted yet.
#pragma once

#include "byte_spans.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace gorsebeam::net {

/// The buffer's memory is included in `total_buffered_bytes`.
class OutputBuffer {
public:
  OutputBuffer() = default;
  OutputBuffer(const OutputBuffer&) = delete;
  OutputBuffer& operator=(const OutputBuffer&) = delete;

  ~OutputBuffer() { release(); }

  /// Appends a copy of all but the first `sent` bytes of `spans`.
  void append_unsent(const ByteSpans& spans, std::size_t sent);

  /// The bytes that are still to be sent.
  [[nodiscard]] std::string_view unsent() const {
    return std::string_view(bytes_).substr(sent_size_);
  }

  /// Records that the kernel accepted the first `count` unsent bytes. They stay in memory until
  /// `release`.
  void mark_sent(std::size_t count) { sent_size_ += count; }

  [[nodiscard]] bool all_sent() const { return sent_size_ == bytes_.size(); }

  /// The number of bytes in memory, both sent and unsent.
  [[nodiscard]] std::size_t size() const { return bytes_.size(); }

  /// Drops all bytes and frees the memory.
  void release();

private:
  std::string bytes_;
  std::size_t sent_size_ = 0;  ///< Number of bytes at the front that the kernel has accepted.
};

}  // namespace gorsebeam::net
