/// Reads and writes the snapshot file in the operators' state folder. The functions block on disk
/// I/O.
#pragma once

#include "snapshot_error.h"

#include "common/result.h"

#include "gorsebeam/state/v1/state.pb.h"

#include <cstddef>
#include <optional>
#include <string>

namespace gorsebeam::snapshot_store {

/// The name of the snapshot file in the state folder.
constexpr const char* kSnapshotFileName = "last-good";

/// Size of the largest snapshot file that is read.
constexpr std::size_t kMaxSnapshotBytes = 64 << 20;

/// Reads and decodes the snapshot in `folder`. Errors: NotFound, without a message;
/// NotASnapshotFile, SystemError and the errors of `decode_snapshot`, each with the path in its
/// message.
[[nodiscard]] common::Result<state::v1::LastGood, SnapshotError>
load_snapshot(const std::string& folder);

/// Atomically replaces the snapshot in `folder` by `bytes`: writes a temporary file in the folder,
/// syncs it, renames it, and syncs the folder. Returns a SystemError, or nothing on success.
[[nodiscard]] std::optional<SnapshotError> save_snapshot(const std::string& folder,
                                                         const std::string& bytes);

}  // namespace gorsebeam::snapshot_store
