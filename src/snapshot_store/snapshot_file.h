/// Reads and writes the snapshot file of the operators' state folder. The functions block on the
/// disk.
#pragma once

#include "snapshot_error.h"

#include "common/result.h"

#include "gorsebeam/state/v1/state.pb.h"

#include <cstddef>
#include <optional>
#include <string>

namespace gorsebeam::snapshot_store {

/// The name of the file in the state folder.
constexpr const char* kSnapshotFileName = "last-good";

/// Size of the largest file that is read.
constexpr std::size_t kMaxSnapshotBytes = 64 << 20;

/// Reads and decodes the snapshot of `folder`. Errors: NotFound, with no message; NotASnapshotFile,
/// SystemError and those of `decode_snapshot`, each with the path.
[[nodiscard]] common::Result<state::v1::LastGood, SnapshotError>
load_snapshot(const std::string& folder);

/// Replaces the snapshot of `folder` by `bytes` atomically: it writes a temporary file in the
/// folder, syncs it, renames it, and syncs the folder. Returns a SystemError, or nothing on
/// success.
[[nodiscard]] std::optional<SnapshotError> save_snapshot(const std::string& folder,
                                                         const std::string& bytes);

}  // namespace gorsebeam::snapshot_store
