#include "conversion.h"

#include <algorithm>

namespace gorsebeam::config {
namespace {

using google::protobuf::RepeatedPtrField;

EndpointStatus to_status(pb::Member::State state) {
  switch (state) {
  case pb::Member::DRAINING:
    return EndpointStatus::Draining;
  case pb::Member::REMOVED:
    return EndpointStatus::Removed;
  default:
    return EndpointStatus::Up;
  }
}

pb::Member::State to_state(EndpointStatus status) {
  switch (status) {
  case EndpointStatus::Draining:
    return pb::Member::DRAINING;
  case EndpointStatus::Removed:
    return pb::Member::REMOVED;
  default:
    return pb::Member::UP;
  }
}

proxy::ListedEndpoint to_endpoint(const pb::Member& member) {
  proxy::ListedEndpoint listed;
  listed.name = member.name();
  listed.address = member.address();
  listed.endpoint.group = member.group();
  listed.endpoint.zone = member.zone();
  listed.endpoint.listed_as_primary = member.role() == pb::Member::PRIMARY;
  listed.endpoint.status = to_status(member.state());
  listed.endpoint.weight = member.size() != 0 ? member.size() : 1;
  listed.endpoint.started_at = TimePoint(std::chrono::seconds(member.started_unix_s()));
  return listed;
}

}  // namespace

proxy::ContractSet to_contract_set(const pb::Contracts& contracts, const ClassIndexes& classes) {
  proxy::ContractSet result;
  result.classes = classes;
  for (const pb::Team& team : contracts.team()) {
    proxy::TeamContract& contract = result.teams[team.name()];
    contract.groups.insert(team.group().begin(), team.group().end());
    for (const pb::ServiceClass& service_class : team.class_()) {
      proxy::ClassLimits& limits = contract.classes[classes.at(service_class.name())];
      if (service_class.longest_wait_ms() > 0)
        limits.max_deadline = std::chrono::milliseconds(service_class.longest_wait_ms());
      limits.max_attempts = service_class.tries();
    }
    if (!team.has_budget())
      continue;
    const double rate = team.budget().per_second();
    const double burst = team.budget().burst();
    result.rates[team.name()] = {rate, burst != 0 ? burst : std::max(1.0, rate)};
  }
  return result;
}

std::vector<proxy::ListedEndpoint> to_endpoints(const RepeatedPtrField<pb::Member>& members) {
  std::vector<proxy::ListedEndpoint> endpoints;
  endpoints.reserve(static_cast<std::size_t>(members.size()));
  for (const pb::Member& member : members)
    endpoints.push_back(to_endpoint(member));
  return endpoints;
}

void append_members(const std::vector<proxy::ListedEndpoint>& endpoints,
                    RepeatedPtrField<pb::Member>& members) {
  for (const proxy::ListedEndpoint& listed : endpoints) {
    const Endpoint& endpoint = listed.endpoint;
    pb::Member& member = *members.Add();
    member.set_name(listed.name);
    member.set_address(listed.address);
    member.set_group(endpoint.group);
    member.set_zone(endpoint.zone);
    member.set_role(endpoint.listed_as_primary ? pb::Member::PRIMARY : pb::Member::REPLICA);
    member.set_state(to_state(endpoint.status));
    member.set_size(endpoint.weight);
    member.set_started_unix_s(
        static_cast<std::uint64_t>(endpoint.started_at.time_since_epoch() / 1s));
  }
}

}  // namespace gorsebeam::config
