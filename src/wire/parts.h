/// Helpers for messages that consist of several spans, which are written in order without being
/// copied into one buffer.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace gorsebeam::wire {

/// The total size of all parts, in bytes.
inline std::size_t total_size(const std::vector<std::string_view>& parts) {
  std::size_t size = 0;
  for (const std::string_view part : parts)
    size += part.size();
  return size;
}

}  // namespace gorsebeam::wire
