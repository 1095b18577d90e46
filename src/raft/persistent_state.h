/// The state that a Raft node keeps on stable storage (Raft paper, Ongaro & Ousterhout, figure 2),
/// with the snapshot that replaces the compacted prefix of the log (Raft thesis, section 5.1).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gorsebeam::raft {

using Term = std::uint64_t;
using Index = std::uint64_t;

struct LogEntry {
  Term term = 0;
  Index index = 0;
  /// The command for the state machine. It is empty in the no-op entry with which a leader starts
  /// its term.
  std::string command;
};

/// The state of the state machine after all entries up to and including `index`.
struct Snapshot {
  Index index = 0;
  Term term = 0;  ///< The term of the entry at `index`.
  std::string state;
};

/// The state is written as a whole; each write replaces the previous content.
struct PersistentState {
  Term current_term = 0;
  /// The candidate that this node voted for in `current_term`; empty if it has not voted.
  std::string voted_for;
  Snapshot snapshot;
  std::vector<LogEntry> log;  ///< Follows the snapshot without a gap.

  [[nodiscard]] Index last_log_index() const { return snapshot.index + log.size(); }

  /// The term of the entry at `index`, or of the snapshot if it ends there; 0 if neither contains
  /// the entry.
  [[nodiscard]] Term term_at(Index index) const;
  /// The entry at `index`, which must be in the log, after the snapshot.
  [[nodiscard]] const LogEntry& entry_at(Index index) const;
  /// At most `max_entries` entries that start with `first`, which must be after the snapshot.
  [[nodiscard]] std::vector<LogEntry> entries_from(Index first, std::size_t max_entries) const;
  /// Appends an entry of the current term.
  void append(std::string command);
  /// Removes the entry at `first` and all later ones.
  void truncate_from(Index first);
  /// Replaces all entries up to the new snapshot's index, which the log must hold, by the snapshot.
  void compact_to(Snapshot new_snapshot);
};

}  // namespace gorsebeam::raft
