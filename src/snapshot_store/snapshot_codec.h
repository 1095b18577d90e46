/// Converts between the accepted versions of the version tracker and the bytes of a snapshot file.
/// Pure.
///
/// A snapshot file is "gorsebeam state\n", a checksum of what follows (XXH3, 64 bits, canonical
/// byte order), and a serialized gorsebeam.state.v1.LastGood.
#pragma once

#include "snapshot_error.h"

#include "common/result.h"
#include "config/validation.h"
#include "config_versions/version_tracker.h"

#include "gorsebeam/state/v1/state.pb.h"

#include <cstdint>
#include <string>

namespace gorsebeam::snapshot_store {

/// The schema that this program writes, and the newest that it reads.
constexpr std::uint32_t kSnapshotSchema = 1;

/// Returns the content of a snapshot file.
[[nodiscard]] std::string encode_snapshot(const state::v1::LastGood& snapshot);

/// Returns the snapshot in the content of a file. Errors: InvalidHeader, ChecksumMismatch,
/// Unparsable, UnsupportedSchema.
[[nodiscard]] common::Result<state::v1::LastGood, SnapshotError>
decode_snapshot(const std::string& bytes);

/// Returns a snapshot of the types whose version is that of a control service; it leaves out those
/// of the operators' file.
[[nodiscard]] state::v1::LastGood make_snapshot(const config_versions::VersionTracker& tracker);

/// Validates the types of a snapshot like those of a response of a control service. Error:
/// InvalidContent.
[[nodiscard]] common::Result<config_versions::SnapshotVersions, SnapshotError>
validate_snapshot(const state::v1::LastGood& snapshot, const config::ValidationContext& context);

}  // namespace gorsebeam::snapshot_store
