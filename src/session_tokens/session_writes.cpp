#include "session_writes.h"

#include <algorithm>

namespace gorsebeam::session_tokens {

void SessionWrites::begin_write(std::uint64_t session, TimePoint now) {
  if (assumed_response_delay_)
    in_flight_[session].insert(now);
}

void SessionWrites::complete_write(std::uint64_t session, TimePoint started_at, WriteResult result,
                                   std::optional<ReplicationPosition> commit_position,
                                   TimePoint now) {
  remove_in_flight(session, started_at);
  if (result == WriteResult::NotExecuted ||
      (result == WriteResult::Unknown && !assumed_response_delay_))
    return;
  // Without a known commit position the write was committed now at the latest.
  const ReplicationPosition position = result == WriteResult::Unknown
                                           ? position_at(now)
                                           : commit_position.value_or(position_at(now));
  const auto [entry, is_new] = positions_.try_emplace(session, position);
  if (is_new)
    sessions_by_age_.push_back(session);
  entry->second = std::max(entry->second, position);
  forget_oldest(now);
}

void SessionWrites::remove_in_flight(std::uint64_t session, TimePoint started_at) {
  const auto writes = in_flight_.find(session);
  if (writes == in_flight_.end())
    return;
  const auto write = writes->second.find(started_at);
  if (write != writes->second.end())
    writes->second.erase(write);
  if (writes->second.empty())
    in_flight_.erase(writes);
}

void SessionWrites::forget_oldest(TimePoint now) {
  // Up to two sessions are forgotten per write, which bounds the memory at a constant cost. A
  // session that continues to write keeps the sessions behind it in the queue until there are more
  // than kMaxSessions.
  constexpr int kStepsPerWrite = 2;
  for (int step = 0; step < kStepsPerWrite && !sessions_by_age_.empty(); ++step) {
    const auto oldest = positions_.find(sessions_by_age_.front());
    if (oldest->second >= position_at(now - kRetention) && sessions_by_age_.size() <= kMaxSessions)
      return;
    forgotten_position_ = std::max(forgotten_position_, oldest->second);
    positions_.erase(oldest);
    sessions_by_age_.pop_front();
  }
}

ReplicationPosition SessionWrites::required_position(std::uint64_t session, TimePoint now) const {
  const auto found = positions_.find(session);
  const ReplicationPosition completed =
      found == positions_.end() ? forgotten_position_ : found->second;
  const auto writes = in_flight_.find(session);
  if (writes == in_flight_.end())
    return completed;
  // begin_write fills in_flight_ only where assumed_response_delay_ has a value.
  const TimePoint known_until = now - assumed_response_delay_.value_or(0ms);
  if (*writes->second.begin() >= known_until)
    return completed;
  return std::max(completed, position_at(known_until));
}

}  // namespace gorsebeam::session_tokens
