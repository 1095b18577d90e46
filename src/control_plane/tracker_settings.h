/// Translates the operators' file into the settings and versions of the version tracker. The
/// functions are pure.
#pragma once

#include "config/operator_file.h"
#include "config_versions/version_tracker.h"

#include <cstdint>

namespace gorsebeam::control_plane {

/// Returns the settings of the file's control service; a setting that is 0 or missing gets its
/// default. `seed` determines the random reconnection delays.
[[nodiscard]] config_versions::TrackerSettings
make_tracker_settings(const config::OperatorFile& file, std::uint64_t seed);

/// Returns the contracts, members and limits of the file.
[[nodiscard]] config_versions::FileVersions make_file_versions(const config::OperatorFile& file);

}  // namespace gorsebeam::control_plane
