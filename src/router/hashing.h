/// Hash functions from which the router draws its random choices.
#pragma once

#include <cstdint>
#include <string>

namespace gorsebeam::router {

/// The finalizer of splitmix64: spreads keys that are close to each other.
[[nodiscard]] std::uint64_t mix_hash(std::uint64_t key);

/// A number in [0, 1) that depends on `key` alone.
[[nodiscard]] double unit_interval(std::uint64_t key);

/// FNV-1a, then `mix_hash`.
[[nodiscard]] std::uint64_t hash_text(const std::string& text);

}  // namespace gorsebeam::router
