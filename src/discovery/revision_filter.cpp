#include "revision_filter.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gorsebeam::discovery {

void RevisionFilter::start_new_epoch() {
  ++epoch_;
  newest_revision_ = 0;
}

bool RevisionFilter::is_still_unavailable(const LastWatchEvent& event,
                                          const Endpoint& endpoint) const {
  if (event.epoch == epoch_ || event.status == EndpointStatus::Up || event.is_only_omitted)
    return false;
  return endpoint.status == EndpointStatus::Up && endpoint.started_at <= event.started_at;
}

void RevisionFilter::remove_outdated(EndpointListDocument& list, ListOrder order) {
  if (list.complete && order == ListOrder::FirstOfWatch && list.revision < newest_revision_)
    start_new_epoch();
  const bool is_newest = list.revision >= newest_revision_;
  newest_revision_ = std::max(newest_revision_, list.revision);
  std::set<std::string> listed_names;
  std::vector<proxy::ListedEndpoint> current;
  for (proxy::ListedEndpoint& entry : list.endpoints) {
    listed_names.insert(entry.name);
    if (record_entry(entry, list.revision, is_newest))
      current.push_back(std::move(entry));
  }
  list.endpoints = std::move(current);
  if (list.complete && is_newest)
    remove_unlisted(listed_names, list.revision);
  list.complete = list.complete && is_newest;
  forget_removed();
}

bool RevisionFilter::record_entry(proxy::ListedEndpoint& entry, std::int64_t revision,
                                  bool is_newest) {
  const auto last = last_events_.find(entry.name);
  const bool is_known = last != last_events_.end();
  const bool is_older =
      is_known && last->second.epoch == epoch_ && revision < last->second.revision;
  if (is_older && !is_newest)
    return false;
  if (is_older || (is_known && is_still_unavailable(last->second, entry.endpoint))) {
    // The earlier status stays in effect until a list with a higher revision than this one.
    entry.endpoint.status = last->second.status;
    last->second.epoch = epoch_;
    last->second.revision = revision + 1;
    return true;
  }
  last_events_[entry.name] = {epoch_, revision, entry.endpoint.status, entry.endpoint.started_at};
  return true;
}

void RevisionFilter::remove_unlisted(const std::set<std::string>& listed_names,
                                     std::int64_t revision) {
  for (auto& [name, event] : last_events_) {
    if (listed_names.count(name) > 0)
      continue;
    // That a list omits an endpoint does not undo that it was listed as draining or removed.
    const bool is_only_omitted = event.is_only_omitted || event.status == EndpointStatus::Up;
    event = {epoch_, revision, EndpointStatus::Removed, event.started_at, is_only_omitted};
  }
}

void RevisionFilter::forget_removed() {
  std::vector<std::pair<std::int64_t, std::string>> removed;
  for (const auto& [name, event] : last_events_) {
    if (event.status == EndpointStatus::Removed)
      removed.emplace_back(event.revision, name);
  }
  if (removed.size() <= kMaxRemovedEndpoints)
    return;
  std::sort(removed.begin(), removed.end());
  removed.resize(removed.size() - kMaxRemovedEndpoints);
  for (const auto& [revision, name] : removed)
    last_events_.erase(name);
}

}  // namespace gorsebeam::discovery
