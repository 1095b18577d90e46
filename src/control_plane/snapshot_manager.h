/// Restores the version tracker from the snapshot in the operators' state folder, and writes the
/// versions that the tracker has accepted to that snapshot.
#pragma once

#include "config/validation.h"
#include "config_versions/version_tracker.h"
#include "snapshot_store/async_snapshot_writer.h"

#include <string>

namespace gorsebeam::control_plane {

/// All functions run on the event loop's thread; `restore` blocks on the disk, `write` does not.
/// `restore` logs its result unless there is no snapshot, and `write` logs only errors.
class SnapshotManager {
public:
  SnapshotManager();

  /// Restores the last good versions, so that a gateway that cannot reach a control service serves
  /// with them. Leaves the tracker unchanged if `folder` holds no snapshot, or one that is not
  /// valid in `context`.
  static void restore(const std::string& folder, const config::ValidationContext& context,
                      config_versions::VersionTracker& tracker);

  /// Writes the tracker's accepted versions in the background. Does nothing if all of them come
  /// from the operators' file.
  void write(const std::string& folder, const config_versions::VersionTracker& tracker);

private:
  snapshot_store::AsyncSnapshotWriter writer_;
};

}  // namespace gorsebeam::control_plane
