/// Writes snapshots in the background, as a disk may stall.
#pragma once

#include "snapshot_error.h"

#include <functional>
#include <optional>
#include <string>

namespace gorsebeam::snapshot_store {

/// Writes in GLib's thread pool, one snapshot at a time; of those that are requested meanwhile only
/// the newest is written. All functions and the callback run on the main loop's thread. A write
/// that is under way when the writer is destroyed goes on, and reports to nobody.
class AsyncSnapshotWriter {
public:
  /// Receives the error of each write, or nothing on success.
  using WriteCallback = std::function<void(const std::optional<SnapshotError>& error)>;

  explicit AsyncSnapshotWriter(WriteCallback on_written) : on_written_(std::move(on_written)) {}

  ~AsyncSnapshotWriter();
  AsyncSnapshotWriter(const AsyncSnapshotWriter&) = delete;
  AsyncSnapshotWriter& operator=(const AsyncSnapshotWriter&) = delete;

  /// Writes `bytes` as the snapshot of `folder`, after the write that is under way.
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
  WriteJob* running_ = nullptr;
  std::optional<Snapshot> next_;
};

}  // namespace gorsebeam::snapshot_store
