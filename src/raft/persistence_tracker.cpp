#include "persistence_tracker.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::raft {

std::optional<WriteNumber> PersistenceTracker::start_write(Index last_log_index) {
  if (!has_changes_)
    return std::nullopt;
  has_changes_ = false;
  ++last_started_;
  pending_writes_.push_back({last_started_, last_log_index});
  return last_started_;
}

std::vector<Message> PersistenceTracker::finish_writes(WriteNumber number) {
  last_finished_ = std::max(last_finished_, std::min(number, last_started_));
  while (!pending_writes_.empty() && pending_writes_.front().number <= last_finished_) {
    persisted_log_index_ = pending_writes_.front().last_log_index;
    pending_writes_.pop_front();
  }
  if (storage_failed_)
    retry_at_ = kNever;
  storage_failed_ = false;
  std::vector<Message> released;
  std::vector<HeldMessage> still_held;
  for (HeldMessage& held : held_messages_) {
    if (held.required_write <= last_finished_)
      released.push_back(std::move(held.message));
    else
      still_held.push_back(std::move(held));
  }
  held_messages_ = std::move(still_held);
  return released;
}

void PersistenceTracker::record_failure(TimePoint retry_at) {
  storage_failed_ = true;
  held_messages_.clear();
  retry_at_ = retry_at;
}

void PersistenceTracker::retry_if_due(TimePoint now, TimePoint next_retry_at) {
  if (now < retry_at_)
    return;
  retry_at_ = next_retry_at;
  has_changes_ = true;
}

void PersistenceTracker::hold(Message message) {
  if (storage_failed_)
    return;
  // To bound memory, two messages of each type are kept for each receiver: the oldest, which can be
  // sent first, and the newest.
  const auto has_same_type = [&](const HeldMessage& held) {
    return held.message.body.index() == message.body.index() && held.message.to == message.to;
  };
  const auto newest = std::find_if(held_messages_.rbegin(), held_messages_.rend(), has_same_type);
  if (std::count_if(held_messages_.begin(), held_messages_.end(), has_same_type) >= 2)
    *newest = {required_write(), std::move(message)};
  else
    held_messages_.push_back({required_write(), std::move(message)});
}

void PersistenceTracker::truncate_log(Index last_log_index) {
  persisted_log_index_ = std::min(persisted_log_index_, last_log_index);
  for (PendingWrite& pending : pending_writes_)
    pending.last_log_index = std::min(pending.last_log_index, last_log_index);
}

}  // namespace gorsebeam::raft
