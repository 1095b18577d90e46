#include "sessions.h"

#include <algorithm>

namespace gorsebeam::sessions {

void Writes::sent(std::uint64_t session) { ++out_[session]; }

void Writes::ended(std::uint64_t session, std::optional<Nanos> commit, Nanos now) {
  const auto out = out_.find(session);
  if (out != out_.end() && --out->second == 0) out_.erase(out);
  if (!commit) return;
  const auto [written, fresh] = written_.try_emplace(session, *commit);
  if (fresh) order_.push_back(session);
  written->second = std::max(written->second, *commit);
  // Bounds memory, two steps a write. One that goes on writing keeps those behind it until there are too many.
  for (int step = 0; step < 2 && !order_.empty(); ++step) {
    const auto oldest = written_.find(order_.front());
    if (oldest->second >= now - kRemember && order_.size() <= kMost) return;
    floor_ = std::max(floor_, oldest->second);
    written_.erase(oldest);
    order_.pop_front();
  }
}

Nanos Writes::seen_by(std::uint64_t session, Nanos now) const {
  if (out_.count(session)) return now;
  const auto found = written_.find(session);
  return found == written_.end() ? floor_ : found->second;
}

} // namespace gorsebeam::sessions
