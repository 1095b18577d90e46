/// A message as a sequence of byte spans, which are written in order without being copied into one
/// buffer first.
#pragma once

#include <string_view>
#include <vector>

namespace gorsebeam::net {

/// The spans borrow their bytes; the owner of the bytes must outlive them.
using ByteSpans = std::vector<std::string_view>;

}  // namespace gorsebeam::net
