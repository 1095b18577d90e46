/// Converts between the accepted versions of the version tracker and the bytes of a snapshot file.
/// The functions are pure.
///
/// A snapshot file consists of "gorsebeam state\n", a checksum of what follows (XXH3, 64 bits,
/// canonical byte order), and a serialized gorsebeam.state.v1.LastGood.
#pragma once

#include "snapshot_error.h"

#include "common/result.h"
#include "config/validation.h"
#include "config_versions/version_tracker.h"

#include "gorsebeam/state/v1/state.pb.h"

#include <cstdint>
#include <string>

namespace gorsebeam::snapshot_store {

/// The number of the snapshot schema that this program writes, and the newest that it reads.
constexpr std::uint32_t kSnapshotSchema = 1;

/// Returns the bytes of a snapshot file that holds `snapshot`.
[[nodiscard]] std::string encode_snapshot(const state::v1::LastGood& snapshot);

/// Returns the snapshot that the bytes of a snapshot file hold. Errors: InvalidHeader,
/// ChecksumMismatch, Unparsable, UnsupportedSchema.
[[nodiscard]] common::Result<state::v1::LastGood, SnapshotError>
decode_snapshot(const std::string& bytes);

/// Returns a snapshot of the tracker's accepted versions. It holds only the types whose running
/// version comes from a control service, not from the operators' file.
[[nodiscard]] state::v1::LastGood make_snapshot(const config_versions::VersionTracker& tracker);

/// Returns the versions in a snapshot, after validating each type like a response of a control
/// service. Error: InvalidContent.
[[nodiscard]] common::Result<config_versions::SnapshotVersions, SnapshotError>
validate_snapshot(const state::v1::LastGood& snapshot, const config::ValidationContext& context);

}  // namespace gorsebeam::snapshot_store
