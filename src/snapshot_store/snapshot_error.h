/// The errors of reading, checking and writing a snapshot.
#pragma once

#include <string>

namespace gorsebeam::snapshot_store {

/// States why a snapshot cannot be used or written.
struct SnapshotError {
  enum class Code {
    /// There is no snapshot file.
    NotFound,
    /// The path is no regular file, or larger than `kMaxSnapshotBytes`.
    NotASnapshotFile,
    /// The file does not begin with the header of a snapshot.
    InvalidHeader,
    ChecksumMismatch,
    /// The checksum is correct and the message cannot be parsed.
    Unparsable,
    /// The snapshot was written by a newer program.
    UnsupportedSchema,
    /// The content is not valid with the current configuration of the platform.
    InvalidContent,
    /// A system call failed.
    SystemError,
  };

  Code code = Code::SystemError;
  /// One clause for the log, with the path where one is known.
  std::string message;
};

}  // namespace gorsebeam::snapshot_store
