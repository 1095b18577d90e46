#include "persistent_state.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace gorsebeam::raft {

Term PersistentState::term_at(Index index) const {
  if (index == snapshot.index)
    return snapshot.term;
  if (index < snapshot.index || index > last_log_index())
    return 0;
  return entry_at(index).term;
}

const LogEntry& PersistentState::entry_at(Index index) const {
  return log[index - snapshot.index - 1];
}

std::vector<LogEntry> PersistentState::entries_from(Index first, std::size_t max_entries) const {
  const auto begin = log.begin() + static_cast<std::ptrdiff_t>(first - snapshot.index - 1);
  const auto available = static_cast<std::size_t>(log.end() - begin);
  const std::size_t count = std::min(available, max_entries);
  return {begin, begin + static_cast<std::ptrdiff_t>(count)};
}

void PersistentState::append(std::string command) {
  log.push_back({current_term, last_log_index() + 1, std::move(command)});
}

void PersistentState::truncate_from(Index first) {
  log.resize(first - snapshot.index - 1);
}

void PersistentState::compact_to(Snapshot new_snapshot) {
  const auto count = static_cast<std::ptrdiff_t>(new_snapshot.index - snapshot.index);
  log.erase(log.begin(), log.begin() + count);
  snapshot = std::move(new_snapshot);
}

}  // namespace gorsebeam::raft
