/// Translates between what the version tracker has accepted and the bytes of a snapshot file. Pure.
///
/// A snapshot file is "gorsebeam state\n", a checksum of what follows (XXH3, 64 bits, canonical
/// order of bytes), and a serialized gorsebeam.state.v1.LastGood.
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
constexpr std::uint32_t kSchema = 1;

[[nodiscard]] std::string encode_snapshot(const state::v1::LastGood& snapshot);

/// Errors: InvalidHeader, ChecksumMismatch, Unparsable, UnsupportedSchema.
[[nodiscard]] common::Result<state::v1::LastGood, SnapshotError>
decode_snapshot(const std::string& bytes);

/// Makes a snapshot of the types that a control service set; those of the operators' file are left
/// out.
[[nodiscard]] state::v1::LastGood make_snapshot(const config_versions::VersionTracker& tracker);

/// Checks the types of a snapshot as if a control service had sent them now. Error: InvalidContent.
[[nodiscard]] common::Result<config_versions::SnapshotVersions, SnapshotError>
validate_snapshot(const state::v1::LastGood& snapshot, const config::ValidationContext& site);

}  // namespace gorsebeam::snapshot_store
