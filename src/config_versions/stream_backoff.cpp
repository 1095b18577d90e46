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

Duration StreamBackoff::next_delay(Duration first_bound, Duration max_bound) {
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const bool exceeds_max = first_bound > max_bound / (std::int64_t{1} << doublings);
  const Duration bound = exceeds_max ? max_bound : first_bound * (std::int64_t{1} << doublings);
  const auto choices = static_cast<std::uint64_t>(std::max(bound, Duration(1ns)).count() + 1);
  return Duration(draw() % choices);
}

}  // namespace gorsebeam::config_versions
