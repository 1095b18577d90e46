#include "request_tracker.h"

#include <utility>

namespace gorsebeam::proxy {

void RequestTracker::begin(const Request& request, const SentRequestKeys& keys, ClientCall& call,
                           TimePoint now) {
  TrackedRequest& tracked = requests_[request.id];
  tracked.call = &call;
  tracked.deadline = request.deadline;
  tracked.begun_at = now;
  tracked.keys = keys;
  tracked.history.class_index = request.class_index;
  tracked.history.group = request.group;
  tracked.history.is_open = true;
  if (request.earlier_attempt)
    tracked.history.may_have_run_since = request.earlier_attempt->sent_at;
  ++open_count_;
}

TrackedRequest* RequestTracker::find(const std::string& request_id) {
  const auto found = requests_.find(request_id);
  return found == requests_.end() ? nullptr : &found->second;
}

ClientCall* RequestTracker::complete(const std::string& request_id) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end() || !found->second.is_open())
    return nullptr;
  TrackedRequest& request = found->second;
  ClientCall* const call = std::exchange(request.call, nullptr);
  request.history.is_open = false;
  --open_count_;
  if (!request.current_attempt)
    requests_.erase(found);
  return call;
}

std::vector<std::string> RequestTracker::overdue(TimePoint now) const {
  std::vector<std::string> ids;
  for (const auto& [id, request] : requests_) {
    if (request.is_open() && request.deadline <= now)
      ids.push_back(id);
  }
  return ids;
}

bool RequestTracker::record_attempt_end(const std::string& request_id,
                                        std::optional<TimePoint> written_at, AttemptStatus status) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end())
    return false;
  TrackedRequest& request = found->second;
  request.current_attempt.reset();
  if (!request.is_open()) {
    requests_.erase(found);
    return false;
  }
  if (!written_at)
    return true;
  --request.history.in_flight;
  if (may_have_run(status) && !request.history.may_have_run_since)
    request.history.may_have_run_since = written_at;
  return true;
}

}  // namespace gorsebeam::proxy
