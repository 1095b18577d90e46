/// When a watch on the endpoint list counts as broken, and when a broken one is opened again.
///
/// The module is pure, but for its random numbers, which follow from a seed. Times are nanoseconds.
///
/// A watch that falls silent delivers nothing more, and the site counts what it misses as notified
/// 6 s after its last byte, whether it arrived or not: from then on an endpoint that drains must
/// not be asked. So silence is noticed as soon as the heartbeat of empty lines allows, and the next
/// call is made early enough to be answered in time.
///
/// With an agent on the gateway's own machine a call costs nobody else anything, and what the agent
/// has counts as notified whether a call is open or not. The watch is reopened at once, well within
/// the grace time of a drain.
///
/// Where all gateways call one discovery service, it handles a few calls a second and works on
/// calls whose caller gave up as on any other. Gateways that lose their watch together and come
/// back faster than it can answer keep it busy with abandoned calls. There the backoff grows with
/// the number of gateways, except for the first one after a silence.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <random>

namespace gorsebeam::discovery {

/// Whom the watch calls.
enum class DiscoveryService {
  LocalAgent,  ///< Each gateway has an agent of its own.
  Shared,      ///< All gateways call one service.
};

/// How a watch ended.
enum class WatchEnd {
  Closed,  ///< The connection failed or closed, or its content was refused.
  Silent,  ///< Nothing arrived for `silence_timeout()`.
};

/// Draws delays evenly from above an eighth of a bound up to the bound. With a shared service the
/// bound doubles with each delay, up to eight times the first; a list that arrives resets it.
class ReconnectBackoff {
public:
  /// After a watch's last byte: what it misses counts as notified.
  static constexpr Duration kNotifiedAfter = 6s;
  /// Silence of an open watch that breaks it: an empty line is due every 2 s.
  static constexpr Duration kSilenceTimeout = 2500ms;
  /// Silence of a call to a shared service that was not answered yet: it may be queued.
  static constexpr Duration kFirstAnswerTimeout = 5s;
  /// The part of kNotifiedAfter that is left for the call itself.
  static constexpr Duration kCallReserve = 1500ms;
  /// Allowed for one call to a shared service; with many gateways one took 49 to 84 ms.
  static constexpr Duration kCallDuration = 50ms;
  /// The bound of each delay with a local agent.
  static constexpr Duration kAgentBackoffMax = 50ms;
  /// The least first bound with a shared service, which few gateways cannot overload.
  static constexpr Duration kMinSharedBackoffMax = 250ms;

  /// `gateways` share the service, if it is shared.
  ReconnectBackoff(std::uint32_t gateways, DiscoveryService service, std::uint64_t seed);

  /// How long a watch may stay silent from now on.
  [[nodiscard]] Duration silence_timeout() const;

  /// The delay from now, above 0, until the watch that ended is opened again.
  [[nodiscard]] Duration next_delay(WatchEnd end);

  /// A list arrived.
  void record_list();

  /// Discovery has another address: starts over.
  void reset();

private:
  std::mt19937_64 random_;
  DiscoveryService service_;
  Duration first_bound_;
  Duration bound_;              // of the next delay
  bool list_received_ = false;  // since the last delay
};

}  // namespace gorsebeam::discovery
