#include "session_writes.h"

#include <algorithm>

namespace gorsebeam::session_tokens {

void SessionWrites::sent(std::uint64_t session, Nanos now) {
  if (known_after_)
    out_[session].insert(now);
}

void SessionWrites::ended(std::uint64_t session, Nanos sent_at, End end,
                          std::optional<Nanos> commit, Nanos now) {
  const auto out = out_.find(session);
  if (out != out_.end()) {
    const auto one = out->second.find(sent_at);
    if (one != out->second.end())
      out->second.erase(one);
    if (out->second.empty())
      out_.erase(out);
  }
  if (end == End::NeverRan || (end == End::Unknown && !known_after_))
    return;
  if (end == End::Unknown || !commit)
    commit = now;  // nothing was told of it: at the latest now
  const auto [written, fresh] = written_.try_emplace(session, *commit);
  if (fresh)
    order_.push_back(session);
  written->second = std::max(written->second, *commit);
  // Bounds memory, two steps a write. One that goes on writing keeps those behind it until there
  // are too many.
  for (int step = 0; step < 2 && !order_.empty(); ++step) {
    const auto oldest = written_.find(order_.front());
    if (oldest->second >= now - kRemember && order_.size() <= kMost)
      return;
    floor_ = std::max(floor_, oldest->second);
    written_.erase(oldest);
    order_.pop_front();
  }
}

Nanos SessionWrites::seen_by(std::uint64_t session, Nanos now) const {
  const auto found = written_.find(session);
  const Nanos ended = found == written_.end() ? floor_ : found->second;
  const auto out = out_.find(session);
  if (out == out_.end() || *out->second.begin() >= now - *known_after_)
    return ended;
  return std::max(ended, now - *known_after_);
}

}  // namespace gorsebeam::session_tokens
