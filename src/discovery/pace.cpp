#include "pace.h"

#include <algorithm>

namespace gorsebeam::discovery {

Pace::Pace(std::uint32_t gateways, std::uint64_t seed)
    : state_(seed), first_(std::max(kFirst, static_cast<Nanos>(gateways) * kCall)), most_(first_) {}

Nanos Pace::next() {
  std::uint64_t x = state_ += 0x9e3779b97f4a7c15ULL; // splitmix64
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  x ^= x >> 31;
  const Nanos least = most_ / 8;
  const Nanos wait = least + 1 + static_cast<Nanos>(x % static_cast<std::uint64_t>(most_ - least));
  most_ = std::min(2 * most_, 8 * first_);
  return wait;
}

} // namespace gorsebeam::discovery
