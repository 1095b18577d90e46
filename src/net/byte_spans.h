/// One message in several pieces, which are written one after the other without being joined first.
#pragma once

#include <string_view>
#include <vector>

namespace gorsebeam::net {

/// The pieces are borrowed.
using ByteSpans = std::vector<std::string_view>;

}  // namespace gorsebeam::net
