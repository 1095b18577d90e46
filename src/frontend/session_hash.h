/// The hash that names a client's session where the client's own name for it is not a number.
#pragma once

#include <cstdint>
#include <string_view>

namespace gorsebeam::frontend {

/// 64-bit FNV-1a. All gateways compute the same hash.
std::uint64_t hash_session_name(std::string_view name);

}  // namespace gorsebeam::frontend
