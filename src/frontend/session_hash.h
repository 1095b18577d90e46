/// Hashes the name that a client gives its session, if that name is not a number itself.
#pragma once

#include <cstdint>
#include <string_view>

namespace gorsebeam::frontend {

/// Returns the 64-bit FNV-1a hash of `name`, which is the same in all gateways.
std::uint64_t hash_session_name(std::string_view name);

}  // namespace gorsebeam::frontend
