/// Decides when accepted versions are applied, and which types have changed since the last
/// application. It does no I/O and reads no clock.
#pragma once

#include "actions.h"
#include "configuration.h"

#include <array>
#include <cstdint>
#include <optional>

namespace gorsebeam::config_versions {

/// Applies responses that arrive in a burst together, as only the last one of each type matters.
/// The `interval` parameters give the shortest time between two requested applications.
class ApplyScheduler {
public:
  /// Requests that the running versions are applied, not before `interval` has passed since the
  /// last application.
  void request() { requested_ = true; }

  /// Returns the time at which the requested application is due, or `kNever` if none is requested.
  [[nodiscard]] TimePoint next_deadline(Duration interval) const;

  [[nodiscard]] bool is_due(TimePoint now, Duration interval) const {
    return now >= next_deadline(interval);
  }

  /// Returns the configuration to apply now, and clears the request. In the first configuration all
  /// types are marked as changed.
  [[nodiscard]] ApplyConfiguration apply(TimePoint now, const AcceptedVersions& accepted);

private:
  bool requested_ = false;
  /// The time of the last application; nothing before the first one.
  std::optional<TimePoint> last_applied_at_;
  std::array<std::uint64_t, kResourceTypeCount> applied_hashes_{};
};

}  // namespace gorsebeam::config_versions
