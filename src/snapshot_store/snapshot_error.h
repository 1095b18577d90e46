/// The errors of reading, validating and writing a snapshot.
#pragma once

#include <string>

namespace gorsebeam::snapshot_store {

/// States why a snapshot cannot be used or written.
struct SnapshotError {
  enum class Code {
    /// There is no snapshot file.
    NotFound,
    /// The path is not a regular file, or the file is larger than `kMaxSnapshotBytes`.
    NotASnapshotFile,
    /// The file does not begin with the header of a snapshot.
    InvalidHeader,
    ChecksumMismatch,
    /// The checksum is correct, but the message cannot be parsed.
    Unparsable,
    /// A newer version of the program wrote the snapshot, with a schema that this one does not
    /// know.
    UnsupportedSchema,
    /// The content is not valid with the gateway's current configuration, or has a field that this
    /// version of the program does not know.
    InvalidContent,
    /// A system call failed.
    SystemError,
  };

  Code code = Code::SystemError;
  /// A clause for the log that describes the error, with the path where it is known; empty
  /// for NotFound.
  std::string message;
};

}  // namespace gorsebeam::snapshot_store
