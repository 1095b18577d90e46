/// Decides when a watch on the endpoint list counts as broken, and when a broken watch is reopened.
///
/// The module is pure; its random numbers are determined by a seed.
///
/// A silent watch may have lost changes. The gateway counts as notified of such a change 6 s after
/// the watch's last byte, and from then on a draining endpoint must get no request. Therefore
/// silence is detected as soon as the interval of discovery's heartbeat permits, and the watch is
/// reopened early enough for its response to arrive within the 6 s.
///
/// With a local agent a call is cheap, and the gateway counts as notified of the changes that the
/// agent has received even while no watch is open. The watch is therefore reopened almost at once,
/// well within the grace period of a drain.
///
/// A discovery service that all gateways share handles only a few calls per second, and it also
/// processes calls whose caller has given up. Gateways that lose their watches at the same time and
/// reopen them faster than the service can respond would keep it busy with abandoned calls. With a
/// shared service the maximum delay therefore grows with the number of gateways, except for the
/// first delay after a silence.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <random>

namespace gorsebeam::discovery {

/// The kind of service that the watch calls.
enum class DiscoveryService {
  LocalAgent,  ///< Each gateway has its own agent on the same machine.
  Shared,      ///< All gateways call one service.
};

/// How a watch ended.
enum class WatchEnd {
  Closed,  ///< The connection failed or closed, or its content was rejected.
  Silent,  ///< Nothing arrived for `silence_timeout()`.
};

/// Draws each delay from a uniform distribution between an eighth of a maximum and that maximum.
/// With a shared service the maximum doubles with each delay, up to eight times its initial value,
/// and each list that arrives resets it.
class ReconnectBackoff {
public:
  /// How long after a watch's last byte the gateway counts as notified of the changes that
  /// the watch did not deliver.
  static constexpr Duration kNotifiedAfter = 6s;

  /// The silence after which an open watch counts as broken; discovery sends an empty line
  /// every 2 s.
  static constexpr Duration kSilenceTimeout = 2500ms;

  /// The silence after which a watch on a shared service counts as broken before its first list. It
  /// is longer than `kSilenceTimeout`, because the call may wait in the queue of the service.
  static constexpr Duration kFirstResponseTimeout = 5s;

  /// The part of `kNotifiedAfter` that is reserved for the call that reopens a silent watch.
  static constexpr Duration kCallTimeReserve = 1500ms;

  /// The time that the delays allow a shared service for each call. With many gateways a call took
  /// 49 to 84 ms.
  static constexpr Duration kCallDuration = 50ms;

  /// The maximum of each delay with a local agent.
  static constexpr Duration kMaxAgentDelay = 50ms;

  /// The lower limit for the initial maximum delay with a shared service. A few gateways cannot
  /// overload the service, so their delays need not be longer.
  static constexpr Duration kMinSharedMaxDelay = 250ms;

  /// `gateways` is the number of gateways that call the service; it matters only if the service is
  /// shared.
  ReconnectBackoff(std::uint32_t gateways, DiscoveryService service, std::uint64_t seed);

  /// How long the watch may be silent from now on without counting as broken.
  [[nodiscard]] Duration silence_timeout() const;

  /// Returns the delay, above 0, from the end of a watch to its reopening.
  [[nodiscard]] Duration next_delay(WatchEnd end);

  /// Records that the watch delivered a list.
  void record_list_received();

  /// Resets all state; for a change of discovery's address.
  void reset();

private:
  std::mt19937_64 random_;
  DiscoveryService service_;
  Duration initial_max_delay_;
  Duration max_delay_;          // the maximum of the next delay
  bool list_received_ = false;  // whether a list arrived since the last delay
};

}  // namespace gorsebeam::discovery
