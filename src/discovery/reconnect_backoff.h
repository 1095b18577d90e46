/// Decides when a watch on the endpoint list counts as broken, and when a broken one is reopened.
///
/// The module is pure; its random numbers follow from a seed.
///
/// A watch that is silent delivers nothing more, but the gateway counts as notified of what it
/// misses 6 s after its last byte: from then on a draining endpoint must get no request. Therefore
/// silence is detected as soon as the heartbeat of empty lines permits, and the next call is made
/// early enough to be answered in time.
///
/// A call to an agent on the gateway's own machine costs nothing, and the gateway counts as
/// notified of what the agent holds whether a call is open or not. The watch is reopened at once,
/// well within the grace time of a drain.
///
/// A discovery service that all gateways share handles a few calls a second, and processes calls
/// whose caller gave up like any other. Gateways that lose their watches together and reopen them
/// faster than it can answer keep it busy with abandoned calls. There the backoff grows with the
/// number of gateways, except for the first one after a silence.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <random>

namespace gorsebeam::discovery {

/// The service that the watch calls.
enum class DiscoveryService {
  LocalAgent,  ///< Each gateway has an agent of its own.
  Shared,      ///< All gateways call one service.
};

/// How a watch ended.
enum class WatchEnd {
  Closed,  ///< The connection failed or closed, or its content was rejected.
  Silent,  ///< Nothing arrived for `silence_timeout()`.
};

/// Draws delays evenly from above an eighth of a bound up to the bound. With a shared service the
/// bound doubles with each delay, up to eight times the first; a list that arrives resets it.
class ReconnectBackoff {
public:
  /// How long after a watch's last byte the gateway counts as notified of what it misses.
  static constexpr Duration kNotifiedAfter = 6s;
  /// The silence after which an open watch is broken; an empty line is due every 2 s.
  static constexpr Duration kSilenceTimeout = 2500ms;
  /// The silence after which a call to a shared service is broken; it may be queued there.
  static constexpr Duration kFirstResponseTimeout = 5s;
  /// The part of kNotifiedAfter that is left for the call itself.
  static constexpr Duration kCallTimeReserve = 1500ms;
  /// Allowed for one call to a shared service; with many gateways one took 49 to 84 ms.
  static constexpr Duration kCallDuration = 50ms;
  /// The bound of each delay with a local agent.
  static constexpr Duration kMaxAgentDelay = 50ms;
  /// The least first bound with a shared service, which few gateways cannot overload.
  static constexpr Duration kMinSharedMaxDelay = 250ms;

  /// `gateways` share the service, if it is shared.
  ReconnectBackoff(std::uint32_t gateways, DiscoveryService service, std::uint64_t seed);

  /// How long a watch may stay silent from now on.
  [[nodiscard]] Duration silence_timeout() const;

  /// The delay from now, above 0, until the watch that ended is opened again.
  [[nodiscard]] Duration next_delay(WatchEnd end);

  /// Records that a list arrived.
  void record_list_received();

  /// Resets all state, as discovery has another address.
  void reset();

private:
  std::mt19937_64 random_;
  DiscoveryService service_;
  Duration initial_max_delay_;
  Duration max_delay_;          // of the next delay
  bool list_received_ = false;  // since the last delay
};

}  // namespace gorsebeam::discovery
