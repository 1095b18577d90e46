/// Tracks which writes of a node's state are on stable storage, and holds back the messages that
/// have to wait for such a write. It performs no I/O itself.
#pragma once

#include "raft/messages.h"
#include "raft/persistent_state.h"

#include "gorsebeam/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace gorsebeam::raft {

/// The number of a write of the state. The first write is 1; 0 stands for the state that was found
/// at the start.
using WriteNumber = std::uint64_t;

/// Writes finish in the order in which they are started. At most two messages of each type and
/// receiver are held back.
class PersistenceTracker {
public:
  /// `last_log_index` is that of the state that was found on stable storage.
  explicit PersistenceTracker(Index last_log_index) : persisted_log_index_(last_log_index) {}

  /// Records that the state has changed since the last write was started.
  void mark_changed() { has_changes_ = true; }

  /// Returns the number of the write that contains all changes so far. That write may not have been
  /// started yet.
  [[nodiscard]] WriteNumber required_write() const {
    return has_changes_ ? last_started_ + 1 : last_started_;
  }

  /// Returns whether the write is on stable storage. Always false while `has_storage_failed`.
  [[nodiscard]] bool is_persisted(WriteNumber number) const {
    return !storage_failed_ && number <= last_finished_;
  }

  /// Returns whether a write has failed and none has finished since.
  [[nodiscard]] bool has_storage_failed() const { return storage_failed_; }

  /// If there are changes, starts a write and returns its number. `last_log_index` is the index of
  /// the last log entry in the state that is written.
  [[nodiscard]] std::optional<WriteNumber> start_write(Index last_log_index);

  /// Records that the write `number` and all earlier ones have finished. Returns the messages that
  /// waited for them.
  [[nodiscard]] std::vector<Message> finish_writes(WriteNumber number);

  /// Records that a write has failed, and drops all messages that are held back: the changes that
  /// they depend on may never be stored. Other nodes repeat their requests. The write is repeated
  /// at `retry_at`.
  void record_failure(TimePoint retry_at);

  /// If a failed write is due to be repeated, marks the state as changed, so that it is written
  /// again, and schedules a further retry at `next_retry_at` in case that write fails too.
  void retry_if_due(TimePoint now, TimePoint next_retry_at);

  /// Returns when a failed write is repeated, or `kNever`.
  [[nodiscard]] TimePoint retry_at() const { return retry_at_; }

  /// Holds back a message until the changes so far are on stable storage. Drops it if the
  /// storage has failed.
  void hold(Message message);

  /// Records that all log entries after `last_log_index` were removed. Writes that contain them no
  /// longer prove that an entry at such an index is on stable storage.
  void truncate_log(Index last_log_index);

  /// Returns the index of the last log entry that is on stable storage.
  [[nodiscard]] Index persisted_log_index() const { return persisted_log_index_; }

private:
  struct HeldMessage {
    WriteNumber required_write = 0;
    Message message;
  };

  struct PendingWrite {
    WriteNumber number = 0;
    /// The index of the last log entry that the write contains and that was not removed since.
    Index last_log_index = 0;
  };

  bool has_changes_ = false;
  bool storage_failed_ = false;
  TimePoint retry_at_ = kNever;
  WriteNumber last_started_ = 0;
  WriteNumber last_finished_ = 0;
  std::deque<PendingWrite> pending_writes_;
  Index persisted_log_index_ = 0;
  std::vector<HeldMessage> held_messages_;
};

}  // namespace gorsebeam::raft
