#include "router/request_table.h"

namespace gorsebeam::router {

PendingRequest& RequestTable::add(const Request& request) {
  const std::uint64_t sequence = next_sequence_;
  ++next_sequence_;
  ids_[request.id] = sequence;
  PendingRequest& added = requests_[sequence];
  added.request = request;
  added.sequence = sequence;
  return added;
}

PendingRequest* RequestTable::find(const std::string& id) {
  const auto found = ids_.find(id);
  return found == ids_.end() ? nullptr : &requests_.at(found->second);
}

void RequestTable::remove(const PendingRequest& request) {
  const std::uint64_t sequence = request.sequence;
  ids_.erase(request.request.id);
  requests_.erase(sequence);
}

std::set<EndpointId> RequestTable::endpoints_in_use() const {
  std::set<EndpointId> in_use;
  for (const auto& [sequence, request] : requests_) {
    for (const UpstreamAttempt& attempt : request.attempts)
      in_use.insert(attempt.endpoint);
  }
  return in_use;
}

}  // namespace gorsebeam::router
