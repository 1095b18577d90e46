// When a broken watch is opened again; pure. Guards a discovery with room for a few calls a second: it works on calls
// that have waited too long as on any other, so gateways that all lost their watch, and come back sooner than it can
// take them, keep it busy with calls that are dead already, and for as long as they go on none gets a list.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <random>

namespace gorsebeam::discovery {

// Waits are drawn evenly up to a bound: first what all gateways need for one call each, then twice as much each time,
// up to eight times. An answer, which `heard` tells, starts over. A lone gateway of many waits longer than it must.
class Pace {
public:
  static constexpr Nanos kCall = 50'000'000;   // allowed for one call: at size one was seen to take 49 to 84 ms
  static constexpr Nanos kFirst = 250'000'000; // the least first bound: few gateways harm no one

  Pace(std::uint32_t gateways, std::uint64_t seed);
  Nanos next(); // how long to wait from now, above zero
  void heard() { most_ = first_; }

private:
  std::mt19937_64 random_;
  Nanos first_;
  Nanos most_; // bound of the next wait
};

} // namespace gorsebeam::discovery
