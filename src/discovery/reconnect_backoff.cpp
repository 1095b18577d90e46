#include "reconnect_backoff.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::discovery {

ReconnectBackoff::ReconnectBackoff(std::uint32_t gateways, bool asked, std::uint64_t seed)
    : random_(seed), asked_(asked),
      first_(asked ? std::max(kFirst, static_cast<Nanos>(gateways) * kCall) : kAgent),
      most_(first_) {}

Nanos ReconnectBackoff::next(bool silent) {
  const bool was_heard = std::exchange(heard_, false);
  const Nanos most = silent && was_heard ? std::min(most_, kTold - kOpen - kInTime) : most_;
  if (asked_)
    most_ = std::min(2 * most_, 8 * first_);
  return std::uniform_int_distribution<Nanos>(most / 8 + 1, most)(random_);
}

void ReconnectBackoff::heard() {
  moved();
  heard_ = true;
}

void ReconnectBackoff::moved() {
  heard_ = false;
  most_ = first_;
}

}  // namespace gorsebeam::discovery
