/// Hash functions on which the router bases its random choices.
#pragma once

#include <cstdint>
#include <string>

namespace gorsebeam::router {

/// Returns the splitmix64 output for `key`, which spreads keys that are close to each other.
[[nodiscard]] std::uint64_t mix_hash(std::uint64_t key);

/// A number in [0, 1) that depends on `key` alone.
[[nodiscard]] double unit_interval(std::uint64_t key);

/// Returns the FNV-1a hash of `text`, mixed by `mix_hash`.
[[nodiscard]] std::uint64_t hash_text(const std::string& text);

}  // namespace gorsebeam::router
