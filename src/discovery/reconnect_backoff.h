// When a watch on the member list counts as broken, and when a broken one is opened again; pure.
//
// A watch that fell silent tells nothing more, and what it misses counts as told 6 s after its last
// byte, arrived or not: a member that drains must not be asked from then on. So silence is noticed
// as soon as the beat of empty lines allows, and the next call goes out early enough to be answered
// in time.
//
// Where an agent on the gateway's own machine has the list, a call costs nobody else anything, and
// what the agent has counts as told whether or not a call is open: it is opened again at once, well
// within a drain's grace. Where all gateways ask one discovery, it has room for a few calls a
// second and works on calls that have waited too long as on any other: gateways that all lost their
// watch, and come back sooner than it can take them, keep it busy with dead calls. There waits
// follow the number of gateways, but for the first after a silence.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <random>

namespace gorsebeam::discovery {

// Waits are drawn evenly up to a bound; on one discovery it doubles with each, up to eight times
// the first, and an answer, which `heard` tells, starts over. Times are nanoseconds.
class ReconnectBackoff {
public:
  static constexpr Nanos kTold =
      6'000'000'000;  // after a watch's last byte: what it misses counts as told
  static constexpr Nanos kOpen =
      2'500'000'000;  // silence of an open watch: an empty line is due every 2 s
  static constexpr Nanos kUnheard =
      5'000'000'000;  // silence of a call on one discovery: it may be queued
  static constexpr Nanos kInTime = 1'500'000'000;  // of kTold, kept for the call itself
  static constexpr Nanos kCall =
      50'000'000;  // allowed for one call: at size one was seen to take 49 to 84 ms
  static constexpr Nanos kAgent =
      50'000'000;  // the bound of each wait where each gateway has an agent
  static constexpr Nanos kFirst = 250'000'000;  // the least first bound: few gateways harm no one

  // `asked`: all gateways ask one discovery; else each asks an agent of its own.
  ReconnectBackoff(std::uint32_t gateways, bool asked, std::uint64_t seed);

  // How long a watch may say nothing from now on.
  Nanos silence() const { return asked_ && !heard_ ? kUnheard : kOpen; }

  Nanos next(
      bool silent);  // how long to wait from now, above zero; `silent`: that is how the watch ended
  void heard();      // a list came
  void moved();      // discovery has another address: as at the start

private:
  std::mt19937_64 random_;
  bool asked_;
  Nanos first_;
  Nanos most_;          // bound of the next wait
  bool heard_ = false;  // since the last wait
};

}  // namespace gorsebeam::discovery
