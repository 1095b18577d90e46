#include "reconnect_backoff.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::discovery {
namespace {

constexpr int kMaxDelayGrowth = 8;

Duration initial_max_delay(std::uint32_t gateways, DiscoveryService service) {
  if (service == DiscoveryService::LocalAgent)
    return ReconnectBackoff::kMaxAgentDelay;
  const Duration all_calls = gateways * ReconnectBackoff::kCallDuration;
  return std::max(ReconnectBackoff::kMinSharedMaxDelay, all_calls);
}

}  // namespace

ReconnectBackoff::ReconnectBackoff(std::uint32_t gateways, DiscoveryService service,
                                   std::uint64_t seed)
    : random_(seed), service_(service), initial_max_delay_(initial_max_delay(gateways, service)),
      max_delay_(initial_max_delay_) {}

Duration ReconnectBackoff::silence_timeout() const {
  if (service_ == DiscoveryService::Shared && !list_received_)
    return kFirstResponseTimeout;
  return kSilenceTimeout;
}

Duration ReconnectBackoff::next_delay(WatchEnd end) {
  const bool had_list = std::exchange(list_received_, false);
  Duration longest = max_delay_;
  if (end == WatchEnd::Silent && had_list)
    longest = std::min(longest, kNotifiedAfter - kSilenceTimeout - kCallTimeReserve);
  if (service_ == DiscoveryService::Shared)
    max_delay_ = std::min(2 * max_delay_, kMaxDelayGrowth * initial_max_delay_);
  const Duration shortest = longest / 8 + 1ns;
  return Duration(
      std::uniform_int_distribution<Duration::rep>(shortest.count(), longest.count())(random_));
}

void ReconnectBackoff::record_list_received() {
  reset();
  list_received_ = true;
}

void ReconnectBackoff::reset() {
  list_received_ = false;
  max_delay_ = initial_max_delay_;
}

}  // namespace gorsebeam::discovery
