/// Restores the version tracker from the snapshot of the operators' state folder, and writes what
/// the tracker accepts to it.
#pragma once

#include "config/validation.h"
#include "config_versions/version_tracker.h"
#include "snapshot_store/async_snapshot_writer.h"

#include <string>

namespace gorsebeam::control_plane {

/// All runs on the main loop's thread; `restore` blocks on the disk, `write` does not. Results go
/// to the log.
class SnapshotManager {
public:
  SnapshotManager();

  /// Makes a gateway that reaches no control service serve from the last good versions. Leaves the
  /// tracker as it is if there is no snapshot, or none that is valid at `context`.
  static void restore(const std::string& folder, const config::ValidationContext& context,
                      config_versions::VersionTracker& tracker);

  /// Writes in the background. Does nothing if all versions are those of the operators' file.
  void write(const std::string& folder, const config_versions::VersionTracker& tracker);

private:
  snapshot_store::AsyncSnapshotWriter writer_;
};

}  // namespace gorsebeam::control_plane
