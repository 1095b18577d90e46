/// Writes snapshots in another thread, so that a slow disk does not stall the main loop.
#pragma once

#include "snapshot_error.h"

#include <functional>
#include <optional>
#include <string>

namespace gorsebeam::snapshot_store {

/// Writes in GLib's thread pool, one snapshot at a time. Of the snapshots that are requested during
/// a write, only the newest is written next. All functions and the callback run on the main loop's
/// thread. A write that is in progress when the writer is destroyed continues, without a callback.
class AsyncSnapshotWriter {
public:
  /// Receives the error of each write, or nothing on success.
  using WriteCallback = std::function<void(const std::optional<SnapshotError>& error)>;

  explicit AsyncSnapshotWriter(WriteCallback on_written) : on_written_(std::move(on_written)) {}

  ~AsyncSnapshotWriter();
  AsyncSnapshotWriter(const AsyncSnapshotWriter&) = delete;
  AsyncSnapshotWriter& operator=(const AsyncSnapshotWriter&) = delete;

  /// Writes `bytes` as the snapshot of `folder`, after the write that is in progress.
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
  /// Owned by its GTask, which outlives this pointer: `finish` clears it.
  WriteJob* current_job_ = nullptr;
  std::optional<Snapshot> next_snapshot_;
};

}  // namespace gorsebeam::snapshot_store
