/// Translates the operators' file into what the version tracker works with. Pure.
#pragma once

#include "config/operator_file.h"
#include "config_versions/version_tracker.h"

#include <cstdint>

namespace gorsebeam::control_plane {

/// The settings of the file's control service; each that is 0 or missing has its default. `seed`
/// spreads the reconnections of many gateways.
[[nodiscard]] config_versions::TrackerSettings
make_tracker_settings(const config::OperatorFile& file, std::uint64_t seed);

/// The contracts, members and limits of the file.
[[nodiscard]] config_versions::FileVersions make_file_versions(const config::OperatorFile& file);

}  // namespace gorsebeam::control_plane
