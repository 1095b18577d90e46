#include "reconnect_backoff.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::discovery {
namespace {

constexpr Nanos kMaxGrowth = 8;

Nanos first_bound_of(std::uint32_t gateways, DiscoveryService service) {
  if (service == DiscoveryService::LocalAgent)
    return ReconnectBackoff::kAgentBackoffMax;
  const Nanos all_calls = static_cast<Nanos>(gateways) * ReconnectBackoff::kCallDuration;
  return std::max(ReconnectBackoff::kMinSharedBackoffMax, all_calls);
}

}  // namespace

ReconnectBackoff::ReconnectBackoff(std::uint32_t gateways, DiscoveryService service,
                                   std::uint64_t seed)
    : random_(seed), service_(service), first_bound_(first_bound_of(gateways, service)),
      bound_(first_bound_) {}

Nanos ReconnectBackoff::silence_timeout() const {
  if (service_ == DiscoveryService::Shared && !list_received_)
    return kFirstAnswerTimeout;
  return kSilenceTimeout;
}

Nanos ReconnectBackoff::next_delay(WatchEnd end) {
  const bool had_list = std::exchange(list_received_, false);
  Nanos bound = bound_;
  if (end == WatchEnd::Silent && had_list)
    bound = std::min(bound, kNotifiedAfter - kSilenceTimeout - kCallReserve);
  if (service_ == DiscoveryService::Shared)
    bound_ = std::min(2 * bound_, kMaxGrowth * first_bound_);
  return std::uniform_int_distribution<Nanos>(bound / 8 + 1, bound)(random_);
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
