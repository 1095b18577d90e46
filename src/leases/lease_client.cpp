#include "lease_client.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace gorsebeam::leases {
namespace {

constexpr std::size_t kMaxTrackedRequests = 8;  // About as many as are sent in two leases.

}  // namespace

LeaseClient::LeaseClient(Settings settings, std::string holder, std::string zone)
    : settings_(std::move(settings)), holder_(std::move(holder)), zone_(std::move(zone)),
      random_(settings_.random_seed) {}

Duration LeaseClient::draw_request_interval() {
  const Duration lease = settings_.lease_duration;
  return Duration(std::uniform_int_distribution<Duration::rep>((lease / 5).count(),
                                                               (lease / 4).count())(random_));
}

void LeaseClient::start(TimePoint now) {
  const Duration max_delay = settings_.lease_duration / 4;
  next_request_at_ =
      now + Duration(std::uniform_int_distribution<Duration::rep>(0, max_delay.count())(random_));
  deadline_ = next_request_at_;
}

void LeaseClient::tick(TimePoint now, ClientActions& actions) {
  expire_leases(now, actions);
  if (state_ == State::Active && now >= next_request_at_)
    send_request(now, actions);
  deadline_ = next_request_at_;
  for (const auto& [role, lease] : held_leases_)
    deadline_ = std::min(deadline_, lease.expires_at);
}

void LeaseClient::expire_leases(TimePoint now, ClientActions& actions) {
  for (auto at = held_leases_.begin(); at != held_leases_.end();) {
    const auto& [role, lease] = *at;
    if (now < lease.expires_at) {
      ++at;
      continue;
    }
    actions.emplace_back(LeaseLost{role, lease.token, LossReason::Expired});
    at = held_leases_.erase(at);
  }
}

void LeaseClient::send_request(TimePoint now, ClientActions& actions) {
  ++last_request_number_;
  unanswered_requests_[last_request_number_] = now;
  if (unanswered_requests_.size() > kMaxTrackedRequests)
    unanswered_requests_.erase(unanswered_requests_.begin());
  next_request_at_ = now + draw_request_interval();
  actions.emplace_back(
      LeaseRequest{holder_, zone_, last_request_number_, last_answered_request_, false});
}

void LeaseClient::handle_response(TimePoint now, const LeaseResponse& response,
                                  ClientActions& actions) {
  const auto request = unanswered_requests_.find(response.request_number);
  const bool is_addressed_here = response.holder == holder_ && state_ == State::Active;
  // A reordered or duplicated response does not replace a newer one.
  if (!is_addressed_here || request == unanswered_requests_.end() ||
      response.request_number <= last_answered_request_)
    return;
  last_answered_request_ = response.request_number;
  const TimePoint sent_at = request->second;
  const TimePoint expires_at = sent_at + settings_.lease_duration - settings_.max_clock_drift();
  unanswered_requests_.erase(unanswered_requests_.begin(), std::next(request));
  HeldLeases new_leases;
  if (now < expires_at)
    for (const auto& [role, token] : response.held_roles)
      new_leases[role] = {token, expires_at};
  replace_held_leases(now, std::move(new_leases), actions);
  deadline_ = std::min(deadline_, now < expires_at ? expires_at : now);
}

void LeaseClient::replace_held_leases(TimePoint now, HeldLeases new_leases,
                                      ClientActions& actions) {
  const auto holds = [](const HeldLeases& leases, const std::string& role, FencingToken token) {
    const auto found = leases.find(role);
    return found != leases.end() && found->second.token == token;
  };
  for (const auto& [role, lease] : held_leases_) {
    if (holds(new_leases, role, lease.token))
      continue;
    const bool has_expired = now >= lease.expires_at;
    const LossReason reason = has_expired ? LossReason::Expired : LossReason::Released;
    actions.emplace_back(LeaseLost{role, lease.token, reason});
  }
  for (const auto& [role, lease] : new_leases)
    if (!holds(held_leases_, role, lease.token))
      actions.emplace_back(LeaseAcquired{role, lease.token});
  held_leases_ = std::move(new_leases);
}

void LeaseClient::resign(ClientActions& actions) {
  state_ = State::Resigned;
  for (const auto& [role, lease] : held_leases_)
    actions.emplace_back(LeaseLost{role, lease.token, LossReason::Released});
  held_leases_.clear();
  deadline_ = kNever;
  next_request_at_ = kNever;
  ++last_request_number_;
  actions.emplace_back(
      LeaseRequest{holder_, zone_, last_request_number_, last_answered_request_, true});
}

std::optional<FencingToken> LeaseClient::valid_token(TimePoint now, const std::string& role) const {
  const auto found = held_leases_.find(role);
  if (found == held_leases_.end() || now >= found->second.expires_at)
    return std::nullopt;
  return found->second.token;
}

}  // namespace gorsebeam::leases
