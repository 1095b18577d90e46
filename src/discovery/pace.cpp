#include "pace.h"

#include <algorithm>

namespace gorsebeam::discovery {

Pace::Pace(std::uint32_t gateways, std::uint64_t seed)
    : random_(seed), first_(std::max(kFirst, static_cast<Nanos>(gateways) * kCall)), most_(first_) {}

Nanos Pace::next() {
  const Nanos wait = std::uniform_int_distribution<Nanos>(most_ / 8 + 1, most_)(random_);
  most_ = std::min(2 * most_, 8 * first_);
  return wait;
}

} // namespace gorsebeam::discovery
