#include "router/endpoint_table.h"

#include <algorithm>
#include <iterator>

namespace gorsebeam::router {
namespace {

// A removed endpoint is kept for this time, as the list may contain it again.
constexpr Duration kForgetAfter = 60'000ms;

}  // namespace

EndpointState* EndpointTable::find(EndpointId id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

const EndpointState* EndpointTable::find(EndpointId id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

void EndpointTable::join_group(const EndpointState& endpoint) {
  const EndpointId id = endpoint.listing.id;
  std::vector<EndpointId>& ids = groups_[endpoint.listing.group].endpoints;
  ids.insert(std::lower_bound(ids.begin(), ids.end(), id), id);
}

void EndpointTable::leave_group(const EndpointState& endpoint) {
  const EndpointId id = endpoint.listing.id;
  const GroupId group_id = endpoint.listing.group;
  ReplicaGroup& left = groups_[group_id];
  std::vector<EndpointId>& ids = left.endpoints;
  ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
  if (left.primary == id) {
    left.primary.reset();
    left.primary_suspected = false;
  }
  mark_dispatchable(group_id);
  forget_group_if_unused(group_id);
}

double EndpointTable::serving_endpoint_count(const ReplicaGroup& group) const {
  const auto serves = [this](EndpointId id) {
    return at(id).is_usable() && !at(id).is_ejected;
  };
  const auto count = std::count_if(group.endpoints.begin(), group.endpoints.end(), serves);
  return std::max(1.0, static_cast<double>(count));
}

void EndpointTable::mark_dispatchable(GroupId id) {
  ReplicaGroup& marked = groups_[id];
  if (marked.waiting.empty())
    return;
  if (!marked.is_dispatchable)
    dispatchable_.push_back(id);
  marked.is_dispatchable = true;
}

std::optional<GroupId> EndpointTable::pop_dispatchable() {
  while (!dispatchable_.empty()) {
    const GroupId id = dispatchable_.front();
    dispatchable_.pop_front();
    const auto found = groups_.find(id);
    if (found == groups_.end())
      continue;
    found->second.is_dispatchable = false;
    return id;
  }
  return std::nullopt;
}

void EndpointTable::forget_removed(TimePoint now, const std::set<EndpointId>& in_use) {
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    const auto& [id, endpoint] = *it;
    if (endpoint.removed_at == kNever || now - endpoint.removed_at < kForgetAfter ||
        in_use.count(id) > 0) {
      ++it;
      continue;
    }
    leave_group(endpoint);
    it = endpoints_.erase(it);
  }
}

void EndpointTable::forget_group_if_unused(GroupId id) {
  const auto found = groups_.find(id);
  if (found == groups_.end())
    return;
  if (found->second.endpoints.empty() && found->second.waiting.empty())
    groups_.erase(found);
}

}  // namespace gorsebeam::router
