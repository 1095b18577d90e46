#include "snapshot_file.h"

#include "snapshot_codec.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

namespace gorsebeam::snapshot_store {
namespace {

using Code = SnapshotError::Code;

constexpr mode_t kSnapshotMode = 0640;

/// Opens a file and owns its descriptor, which is negative if the file could not be opened.
class FileDescriptor {
public:
  FileDescriptor(const std::string& path, int flags)
      : descriptor_(::open(path.c_str(), flags | O_CLOEXEC, kSnapshotMode)) {}

  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  ~FileDescriptor() {
    if (is_open())
      ::close(descriptor_);
  }

  [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }

  [[nodiscard]] int get() const { return descriptor_; }

private:
  int descriptor_;
};

// Returns the error of the last system call, which concerned `path`.
SnapshotError system_error(const std::string& path) {
  return {Code::SystemError, path + ": " + std::strerror(errno)};
}

std::optional<SnapshotError> write_all(const FileDescriptor& file, const std::string& path,
                                       const std::string& bytes) {
  std::size_t total_written = 0;
  while (total_written < bytes.size()) {
    const ssize_t written =
        ::write(file.get(), bytes.data() + total_written, bytes.size() - total_written);
    if (written < 0 && errno == EINTR)
      continue;
    if (written <= 0) {
      SnapshotError error = system_error(path);
      ::unlink(path.c_str());
      return error;
    }
    total_written += static_cast<std::size_t>(written);
  }
  return std::nullopt;
}

std::optional<SnapshotError> write_and_sync(const std::string& path, const std::string& bytes) {
  const FileDescriptor file(path, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file.is_open())
    return system_error(path);
  if (auto error = write_all(file, path, bytes))
    return error;
  if (::fsync(file.get()) != 0)
    return system_error(path);
  return std::nullopt;
}

std::optional<SnapshotError> sync_folder(const std::string& path) {
  const FileDescriptor folder(path, O_RDONLY | O_DIRECTORY);
  if (!folder.is_open() || ::fsync(folder.get()) != 0)
    return system_error(path);
  return std::nullopt;
}

}  // namespace

common::Result<state::v1::LastGood, SnapshotError> load_snapshot(const std::string& folder) {
  const std::string path = folder + "/" + kSnapshotFileName;

  struct stat info {};

  if (::stat(path.c_str(), &info) != 0)
    return errno == ENOENT ? SnapshotError{Code::NotFound, ""} : system_error(path);
  if (!S_ISREG(info.st_mode) || static_cast<std::size_t>(info.st_size) > kMaxSnapshotBytes)
    return SnapshotError{Code::NotASnapshotFile,
                         path + ": not a regular file of at most 64 MiB; its size is " +
                             std::to_string(info.st_size) + " bytes"};
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return system_error(path);
  const std::string bytes{std::istreambuf_iterator<char>(file), {}};
  auto snapshot = decode_snapshot(bytes);
  if (!snapshot)
    return SnapshotError{snapshot.error().code, path + ": " + snapshot.error().message};
  return snapshot;
}

std::optional<SnapshotError> save_snapshot(const std::string& folder, const std::string& bytes) {
  const std::string path = folder + "/" + kSnapshotFileName;
  const std::string temporary = path + ".new";
  if (auto error = write_and_sync(temporary, bytes))
    return error;
  if (::rename(temporary.c_str(), path.c_str()) != 0)
    return system_error(path);
  return sync_folder(folder);
}

}  // namespace gorsebeam::snapshot_store
