/// Tells when inventories have stopped changing, so that a reload reads no inventory that is being
/// written.
#pragma once

#include "gorsebeam/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gorsebeam::gateway {

/// For how long an inventory has to stay unchanged before it is read.
constexpr Duration kInventorySettleTime = 200ms;

/// How long a reload waits for inventories that go on changing.
constexpr Duration kMaxInventoryWait = 10s;

/// Compares the files' identities, sizes and times of change; does not read the files. A file that
/// does not exist counts as unchanged until it appears.
class InventoryWatch {
public:
  enum class State {
    Changing,  ///< A file has changed since the last call: ask again after the settle time.
    Settled,
    GivenUp,  ///< The files have gone on changing for too long.
  };

  /// Starts to watch the files in `paths`.
  void begin(std::vector<std::string> paths, TimePoint now);

  /// Whether the files have changed since `begin` or the last call.
  [[nodiscard]] State check(TimePoint now);

private:
  struct Version {
    std::uint64_t device = 0;
    std::uint64_t inode = 0;
    std::int64_t size = 0;
    std::int64_t changed_at_s = 0;
    std::int64_t changed_at_ns = 0;

    bool operator==(const Version& other) const;
  };

  static Version version_of(const std::string& path);
  [[nodiscard]] std::vector<Version> versions() const;

  std::vector<std::string> paths_;
  std::vector<Version> versions_;
  TimePoint began_at_{};
};

}  // namespace gorsebeam::gateway
