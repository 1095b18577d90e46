#include "reconnect_backoff.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::discovery {
namespace {

constexpr int kMaxGrowth = 8;

Duration first_bound_of(std::uint32_t gateways, DiscoveryService service) {
  if (service == DiscoveryService::LocalAgent)
    return ReconnectBackoff::kAgentBackoffMax;
  const Duration all_calls = gateways * ReconnectBackoff::kCallDuration;
  return std::max(ReconnectBackoff::kMinSharedBackoffMax, all_calls);
}

}  // namespace

ReconnectBackoff::ReconnectBackoff(std::uint32_t gateways, DiscoveryService service,
                                   std::uint64_t seed)
    : random_(seed), service_(service), first_bound_(first_bound_of(gateways, service)),
      bound_(first_bound_) {}

Duration ReconnectBackoff::silence_timeout() const {
  if (service_ == DiscoveryService::Shared && !list_received_)
    return kFirstAnswerTimeout;
  return kSilenceTimeout;
}

Duration ReconnectBackoff::next_delay(WatchEnd end) {
  const bool had_list = std::exchange(list_received_, false);
  Duration bound = bound_;
  if (end == WatchEnd::Silent && had_list)
    bound = std::min(bound, kNotifiedAfter - kSilenceTimeout - kCallReserve);
  if (service_ == DiscoveryService::Shared)
    bound_ = std::min(2 * bound_, kMaxGrowth * first_bound_);
  const Duration shortest = bound / 8 + 1ns;
  return Duration(
      std::uniform_int_distribution<Duration::rep>(shortest.count(), bound.count())(random_));
}

void ReconnectBackoff::record_list() {
  reset();
  list_received_ = true;
}

void ReconnectBackoff::reset() {
  list_received_ = false;
  bound_ = first_bound_;
}

}  // namespace gorsebeam::discovery
