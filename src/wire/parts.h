/// Messages in pieces, which are written one after the other without being joined.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace gorsebeam::wire {

/// The size of all pieces together, in bytes.
inline std::size_t total_size(const std::vector<std::string_view>& parts) {
  std::size_t size = 0;
  for (const std::string_view part : parts)
    size += part.size();
  return size;
}

}  // namespace gorsebeam::wire
