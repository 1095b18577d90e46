/// Writes snapshots on another thread, so that a slow disk does not stall the event loop.
#pragma once

#include "snapshot_error.h"

#include <functional>
#include <optional>
#include <string>

namespace gorsebeam::snapshot_store {

/// Writes snapshots in GLib's thread pool, one at a time. Of the snapshots that are requested
/// during a write, only the newest is written afterwards. All functions and the callback run on the
/// event loop's thread. A write that is in progress when the writer is destroyed continues, but its
/// callback is not called.
class AsyncSnapshotWriter {
public:
  /// Called after each write, with its error, or with nothing on success.
  using WriteCallback = std::function<void(const std::optional<SnapshotError>& error)>;

  explicit AsyncSnapshotWriter(WriteCallback on_written) : on_written_(std::move(on_written)) {}

  ~AsyncSnapshotWriter();
  AsyncSnapshotWriter(const AsyncSnapshotWriter&) = delete;
  AsyncSnapshotWriter& operator=(const AsyncSnapshotWriter&) = delete;

  /// Writes `bytes` as the snapshot of `folder`, after the write that is in progress, if any.
  void write(const std::string& folder, std::string bytes);

private:
  struct Snapshot {
    std::string folder;
    std::string bytes;
  };
  struct WriteJob;

  void start(Snapshot snapshot);
  void finish(const WriteJob& job);

  WriteCallback on_written_;
  /// The write in progress, or null. Its GTask owns it, and `finish` clears this pointer before the
  /// task is freed.
  WriteJob* current_job_ = nullptr;
  /// The snapshot to write after the write in progress.
  std::optional<Snapshot> next_snapshot_;
};

}  // namespace gorsebeam::snapshot_store
