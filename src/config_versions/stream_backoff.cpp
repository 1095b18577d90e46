#include "stream_backoff.h"

#include <algorithm>

namespace gorsebeam::config_versions {
namespace {

// Larger shifts are not needed, and would overflow.
constexpr int kMaxDoublings = 30;

}  // namespace

// xorshift64* (S. Vigna, "An experimental exploration of Marsaglia's xorshift generators").
std::uint64_t StreamBackoff::draw() {
  random_ ^= random_ >> 12;
  random_ ^= random_ << 25;
  random_ ^= random_ >> 27;
  return random_ * 0x2545F4914F6CDD1DULL;
}

Nanos StreamBackoff::next_delay(Nanos first_bound, Nanos max_bound) {
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const bool exceeds_max = first_bound > max_bound >> doublings;
  const Nanos bound = exceeds_max ? max_bound : first_bound << doublings;
  const auto choices = static_cast<std::uint64_t>(std::max<Nanos>(bound, 1) + 1);
  return static_cast<Nanos>(draw() % choices);
}

}  // namespace gorsebeam::config_versions
