#include "stream_backoff.h"

#include <algorithm>

namespace gorsebeam::config_versions {
namespace {

// The bound reaches its maximum with fewer doublings; without this limit, the power of two could
// overflow.
constexpr int kMaxDoublings = 30;

}  // namespace

// The generator is xorshift64* (S. Vigna, "An experimental exploration of Marsaglia's xorshift
// generators").
std::uint64_t StreamBackoff::draw() {
  random_state_ ^= random_state_ >> 12;
  random_state_ ^= random_state_ << 25;
  random_state_ ^= random_state_ >> 27;
  return random_state_ * 0x2545F4914F6CDD1DULL;
}

Duration StreamBackoff::next_delay(Duration initial_bound, Duration max_bound) {
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const bool exceeds_max = initial_bound > max_bound / (std::int64_t{1} << doublings);
  const Duration bound = exceeds_max ? max_bound : initial_bound * (std::int64_t{1} << doublings);
  const auto possible_delays =
      static_cast<std::uint64_t>(std::max(bound, Duration(1ns)).count() + 1);
  return Duration(draw() % possible_delays);
}

}  // namespace gorsebeam::config_versions
