#include "revision_filter.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gorsebeam::discovery {

void RevisionFilter::recount() {
  ++count_;
  newest_ = 0;
}

// Of two counts: told to leave in the other, and since then neither started again nor named by a
// later list.
bool RevisionFilter::still_leaving(const Told& told, const Endpoint& member) const {
  const bool left = told.state != EndpointStatus::Up && !told.left_out && told.count != count_;
  return left && member.status == EndpointStatus::Up && member.started_at <= told.started_at;
}

void RevisionFilter::take(EndpointListDocument& list, bool first) {
  if (list.complete && first && list.revision < newest_)
    recount();
  const bool newest = list.revision >= newest_;
  newest_ = std::max(newest_, list.revision);
  std::set<std::string> named;
  std::vector<proxy::ListedEndpoint> news;
  for (proxy::ListedEndpoint& listed : list.members) {
    Endpoint& member = listed.endpoint;
    named.insert(listed.name);
    const auto held = told_.find(listed.name);
    const bool older = held != told_.end() && held->second.count == count_ &&
                       list.revision < held->second.revision;
    if (older && !newest)
      continue;
    if (older || (held != told_.end() && still_leaving(held->second, member))) {
      Told& told = held->second;
      member.status = told.state;
      told.count = count_, told.revision = list.revision + 1;  // until a later word
    } else {
      told_[listed.name] = {count_, list.revision, member.status, member.started_at};
    }
    news.push_back(std::move(listed));
  }
  list.members = std::move(news);
  if (list.complete && newest)
    for (auto& [name, told] : told_)
      if (!named.count(name))
        told = {count_, list.revision, EndpointStatus::Removed, told.started_at, true};
  list.complete &= newest;
  forget_gone();
}

void RevisionFilter::forget_gone() {
  std::vector<std::pair<std::int64_t, std::string>> gone;
  for (const auto& [name, told] : told_)
    if (told.state == EndpointStatus::Removed)
      gone.push_back({told.revision, name});
  if (gone.size() <= kGoneMost)
    return;
  std::sort(gone.begin(), gone.end());
  gone.resize(gone.size() - kGoneMost);
  for (const auto& [revision, name] : gone)
    told_.erase(name);
}

}  // namespace gorsebeam::discovery
