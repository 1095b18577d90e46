#include "inventory_watch.h"

#include <tuple>
#include <utility>

#include <sys/stat.h>

namespace gorsebeam::gateway {

bool InventoryWatch::Version::operator==(const Version& other) const {
  return std::tie(device, inode, size, changed_at_s, changed_at_ns) ==
         std::tie(other.device, other.inode, other.size, other.changed_at_s, other.changed_at_ns);
}

InventoryWatch::Version InventoryWatch::version_of(const std::string& path) {
  struct stat status {};

  if (stat(path.c_str(), &status) != 0)
    return {};
  return {status.st_dev, status.st_ino, status.st_size, status.st_mtim.tv_sec,
          status.st_mtim.tv_nsec};
}

std::vector<InventoryWatch::Version> InventoryWatch::versions() const {
  std::vector<Version> result;
  result.reserve(paths_.size());
  for (const std::string& path : paths_)
    result.push_back(version_of(path));
  return result;
}

void InventoryWatch::begin(std::vector<std::string> paths, TimePoint now) {
  paths_ = std::move(paths);
  versions_ = versions();
  began_at_ = now;
}

InventoryWatch::State InventoryWatch::check(TimePoint now) {
  std::vector<Version> current = versions();
  if (current == versions_)
    return State::Settled;
  versions_ = std::move(current);
  return now - began_at_ >= kMaxInventoryWait ? State::GivenUp : State::Changing;
}

}  // namespace gorsebeam::gateway
