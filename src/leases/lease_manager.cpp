#include "lease_manager.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gorsebeam::leases {
namespace {

// A flapping gateway is avoided for at most 2^5 = 32 leases.
constexpr int kMaxRecentLapses = 5;
// A gateway that sends no requests is forgotten after this many leases, and so is a flap history
// after the gateway is no longer avoided.
constexpr int kForgetAfterLeases = 10;
// About as many requests as a gateway sends in a lease. A gateway with more unanswered requests is
// regarded as missing the responses.
constexpr std::uint64_t kMaxUnansweredRequests = 5;

int count_of(const std::map<std::string, int>& counts, const std::string& name) {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

template <typename Map, typename Predicate>
void erase_if(Map& map, const Predicate& is_obsolete) {
  for (auto at = map.begin(); at != map.end();)
    at = is_obsolete(at->second) ? map.erase(at) : std::next(at);
}

}  // namespace

LeaseManager::LeaseManager(Settings settings) : settings_(std::move(settings)) {}

// ---- Leadership

void LeaseManager::start_leading(TimePoint now, const LeaseTable& table) {
  stop_leading();
  table_ = &table;
  // Earlier leaders may have renewed any lease up to this node's election, for requests that they
  // had received by then. No role is granted until such leases have expired.
  for (const std::string& role : settings_.roles)
    leases_[role].expires_at = now + lease_duration_with_drift();
  deadline_ = now + settings_.lease_duration / 4;
}

void LeaseManager::stop_leading() {
  table_ = nullptr;
  gateways_.clear();
  flap_histories_.clear();
  leases_.clear();
  pending_requests_.clear();
}

void LeaseManager::handle_confirmation_started(std::uint64_t round) {
  for (auto& [holder, pending] : pending_requests_)
    if (pending.round == 0)
      pending.round = round;
}

// ---- Renewals

void LeaseManager::handle_request(TimePoint now, const LeaseRequest& request) {
  if (!is_leading() || !is_valid_name(request.holder))
    return;
  Gateway& gateway = gateways_[request.holder];
  gateway.zone = request.zone;
  gateway.last_request_at = now;
  // An incarnation that has resigned stays resigned, even if one of its earlier requests arrives
  // late.
  if (request.has_resigned || gateway.state == GatewayState::Resigned) {
    gateway.state = GatewayState::Resigned;
    return expire_leases_of(now, request.holder);
  }
  const bool misses_responses =
      request.request_number > request.last_answered_request + kMaxUnansweredRequests;
  gateway.state = misses_responses ? GatewayState::MissesResponses : GatewayState::Responsive;
  // A newer request replaces an older pending one, as its renewal lasts longer.
  PendingRequest& pending = pending_requests_[request.holder];
  if (pending.request.request_number < request.request_number)
    pending = {request, now, 0};
  // The short delay lets requests that arrive in the meantime share one confirmation.
  deadline_ = std::min(deadline_, now + settings_.lease_duration / 50);
}

void LeaseManager::expire_leases_of(TimePoint now, const std::string& holder) {
  pending_requests_.erase(holder);
  for (auto& [role, lease] : leases_)
    if (table_->grant_of(role).holder == holder)
      lease.expires_at = std::min(lease.expires_at, now);
  deadline_ = now;
}

void LeaseManager::handle_leadership_confirmed(TimePoint now, std::uint64_t round,
                                               ManagerActions& actions) {
  if (!is_leading())
    return;
  for (auto at = pending_requests_.begin(); at != pending_requests_.end();) {
    const PendingRequest& pending = at->second;
    if (pending.round == 0 || pending.round > round) {
      ++at;
      continue;
    }
    actions.emplace_back(renew(pending));
    at = pending_requests_.erase(at);
  }
  deadline_ = std::min(deadline_, now + settings_.lease_duration / 4);
}

LeaseResponse LeaseManager::renew(const PendingRequest& pending) {
  const std::string& holder = pending.request.holder;
  LeaseResponse response{holder, pending.request.request_number, {}};
  const auto gateway = gateways_.find(holder);
  if (gateway == gateways_.end() || gateway->second.state != GatewayState::Responsive)
    return response;
  for (auto& [role, lease] : leases_) {
    const Grant& grant = table_->grant_of(role);
    const bool is_renewable =
        lease.state == LeaseState::Renewable && lease.preferred_successor.empty();
    if (grant.holder != holder || !is_renewable)
      continue;
    lease.expires_at =
        std::max(lease.expires_at, pending.received_at + lease_duration_with_drift());
    response.held_roles.emplace_back(role, grant.token);
  }
  return response;
}

// ---- Grants

void LeaseManager::handle_grant_applied(TimePoint now, const std::string& role) {
  const auto found = leases_.find(role);
  if (!is_leading() || found == leases_.end())
    return;
  Lease& lease = found->second;
  lease = {};
  // The holder receives the grant in the response to its next request. If it sends no request,
  // the role is granted to another gateway after a lease.
  const bool is_held = !table_->grant_of(role).holder.empty();
  lease.expires_at = is_held ? now + lease_duration_with_drift() : now;
}

void LeaseManager::transfer(const std::string& role, const std::string& preferred_successor) {
  const auto found = leases_.find(role);
  if (!is_leading() || found == leases_.end())
    return;
  if (gateway_name(table_->grant_of(role).holder) != preferred_successor)
    found->second.preferred_successor = preferred_successor;
}

bool LeaseManager::is_available(TimePoint now, const std::string& holder) const {
  const auto found = gateways_.find(holder);
  if (found == gateways_.end())
    return false;
  const Gateway& gateway = found->second;
  return gateway.state == GatewayState::Responsive &&
         now - gateway.last_request_at <= settings_.lease_duration / 2;
}

std::optional<std::string> LeaseManager::least_loaded_gateway(TimePoint now,
                                                              const std::string& role) const {
  std::map<std::string, int> roles_by_holder;
  std::map<std::string, int> roles_by_zone;
  for (const auto& [other_role, lease] : leases_) {
    const std::string& holder = table_->grant_of(other_role).holder;
    const auto gateway = gateways_.find(holder);
    if (other_role == role || gateway == gateways_.end())
      continue;
    ++roles_by_holder[holder];
    ++roles_by_zone[gateway->second.zone];
  }
  std::optional<std::pair<PlacementCost, std::string>> best;
  for (const auto& [holder, gateway] : gateways_) {
    if (!is_available(now, holder))
      continue;
    const auto history = flap_histories_.find(gateway_name(holder));
    const bool is_avoided = history != flap_histories_.end() && now < history->second.avoided_until;
    // The hash breaks ties: it spreads roles over gateways of equal cost, and every leader computes
    // the same hash.
    std::string tie_break = role;
    tie_break += ' ';
    tie_break += holder;
    const PlacementCost cost{is_avoided, count_of(roles_by_holder, holder),
                             count_of(roles_by_zone, gateway.zone),
                             XXH3_64bits(tie_break.data(), tie_break.size())};
    if (!best || cost < best->first)
      best.emplace(cost, holder);
  }
  if (!best)
    return std::nullopt;
  return best->second;
}

std::optional<std::string> LeaseManager::choose_successor(TimePoint now, const std::string& role,
                                                          const Lease& lease) const {
  std::optional<std::string> successor = least_loaded_gateway(now, role);
  if (lease.preferred_successor.empty())
    return successor;
  for (const auto& [holder, gateway] : gateways_)
    if (gateway_name(holder) == lease.preferred_successor && is_available(now, holder))
      successor = holder;
  return successor;
}

void LeaseManager::record_lapse_unless_resigned(TimePoint now, const std::string& holder) {
  const auto gateway = gateways_.find(holder);
  const bool has_resigned =
      gateway != gateways_.end() && gateway->second.state == GatewayState::Resigned;
  if (holder.empty() || has_resigned)
    return;
  FlapHistory& history = flap_histories_[gateway_name(holder)];
  history.recent_lapses = std::min(history.recent_lapses + 1, kMaxRecentLapses);
  history.avoided_until = now + settings_.lease_duration * (1 << history.recent_lapses);
}

// Returns whether the role, whose lease has expired, has to be granted again.
bool LeaseManager::needs_successor(TimePoint now, const std::string& holder,
                                   const Lease& lease) const {
  // A grant that is not applied within a lease is proposed again: the log may have been full, or
  // the proposal may have been outdated.
  if (lease.state == LeaseState::GrantProposed)
    return now - lease.proposed_at >= settings_.lease_duration;
  // A holder that sends requests again keeps the role and its token.
  return !lease.preferred_successor.empty() || !is_available(now, holder);
}

void LeaseManager::propose_grant(TimePoint now, const std::string& role,
                                 const std::string& successor, Lease& lease,
                                 ManagerActions& actions) {
  lease.state = LeaseState::GrantProposed;
  lease.proposed_at = now;
  const FencingToken token = table_->grant_of(role).token;
  actions.emplace_back(ProposeGrant{LeaseTable::grant_command(role, successor, token)});
}

void LeaseManager::grant_if_expired(TimePoint now, const std::string& role, Lease& lease,
                                    ManagerActions& actions) {
  if (now < lease.expires_at) {
    deadline_ = std::min(deadline_, lease.expires_at);
    return;
  }
  const std::string& holder = table_->grant_of(role).holder;
  if (!needs_successor(now, holder, lease))
    return;
  if (lease.state == LeaseState::Renewable && lease.preferred_successor.empty())
    record_lapse_unless_resigned(now, holder);
  const std::optional<std::string> successor = choose_successor(now, role, lease);
  if (successor)
    propose_grant(now, role, *successor, lease, actions);
}

// ---- Time

void LeaseManager::forget_silent_gateways(TimePoint now) {
  const TimePoint cutoff = now - kForgetAfterLeases * settings_.lease_duration;
  erase_if(gateways_, [&](const Gateway& gateway) {
    return gateway.last_request_at < cutoff;
  });
  erase_if(flap_histories_, [&](const FlapHistory& history) {
    return history.avoided_until < cutoff;
  });
}

void LeaseManager::tick(TimePoint now, ManagerActions& actions) {
  if (!is_leading() || now < deadline_)
    return;
  deadline_ = now + settings_.lease_duration / 4;
  forget_silent_gateways(now);
  for (auto& [role, lease] : leases_)
    grant_if_expired(now, role, lease, actions);
  const auto is_unconfirmed = [](const auto& pending) {
    return pending.second.round == 0;
  };
  if (std::any_of(pending_requests_.begin(), pending_requests_.end(), is_unconfirmed))
    actions.emplace_back(ConfirmLeadership{});
}

}  // namespace gorsebeam::leases
