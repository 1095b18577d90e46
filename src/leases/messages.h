/// The messages between gateways and the lease manager, and the settings and names that both use.
/// Points in time are those of each gateway's own monotonic clock, and points in time of different
/// gateways are never compared.
#pragma once

#include "gorsebeam/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::leases {

/// The index of the log entry that granted the role; 0 if it was never granted.
using FencingToken = std::uint64_t;

constexpr std::size_t kMaxRoles = 64;
constexpr std::size_t kMaxNameBytes = 96;

struct Settings {
  std::vector<std::string> roles;  ///< At most kMaxRoles, the same at every gateway.
  Duration lease_duration = 3s;
  /// The largest deviation of a clock's rate from true time, in parts per million; below 100,000.
  std::int64_t max_clock_drift_ppm = 500;
  std::uint64_t random_seed = 1;

  /// The largest error of a clock over one lease.
  [[nodiscard]] Duration max_clock_drift() const {
    return lease_duration / 1'000'000 * max_clock_drift_ppm;
  }
};

/// Sent by each gateway about four times a lease.
struct LeaseRequest {
  /// The text NAME~INCARNATION. The incarnation is drawn at each start, so that a restarted
  /// gateway, or another gateway of the same name, is another holder.
  std::string holder;
  std::string zone;
  std::uint64_t request_number = 0;  ///< Grows by 1 with each request; the first is 1.
  /// The number of the newest request for which a response was received; 0 before the first.
  std::uint64_t last_answered_request = 0;
  bool has_resigned = false;  ///< The sender has given up all roles and accepts none.
};

/// Names all roles that the holder holds. A role that is not named is lost.
struct LeaseResponse {
  std::string holder;
  std::uint64_t request_number = 0;
  std::vector<std::pair<std::string, FencingToken>> held_roles;
};

/// Returns whether the text has 1 to kMaxNameBytes characters, which are letters, digits, '.', '_',
/// '-' and '~'.
[[nodiscard]] bool is_valid_name(const std::string& text);

/// Returns the NAME of a holder NAME~INCARNATION.
[[nodiscard]] std::string gateway_name(const std::string& holder);

}  // namespace gorsebeam::leases
