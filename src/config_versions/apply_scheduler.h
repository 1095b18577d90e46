/// Decides when accepted versions are put in force, and which types have changed since the last
/// time. Pure.
#pragma once

#include "actions.h"
#include "configuration.h"

#include <array>
#include <cstdint>
#include <optional>

namespace gorsebeam::config_versions {

/// Responses that arrive in a burst are applied together: only the last one of each type matters.
/// The interval is the shortest time between two applications that responses request.
class ApplyScheduler {
public:
  /// Requests that what runs is applied, `interval` after the last application.
  void request() { requested_ = true; }

  /// Returns when a requested application is due, or `kNever`.
  [[nodiscard]] TimePoint next_deadline(Duration interval) const;

  [[nodiscard]] bool is_due(TimePoint now, Duration interval) const {
    return now >= next_deadline(interval);
  }

  /// Returns the configuration to apply now, which fulfils the request if there is one. All types
  /// count as changed the first time.
  [[nodiscard]] ApplyConfiguration apply(TimePoint now, const AcceptedVersions& accepted);

private:
  bool requested_ = false;
  /// Nothing before the first application.
  std::optional<TimePoint> last_applied_at_;
  std::array<std::uint64_t, kResourceTypeCount> applied_hashes_{};
};

}  // namespace gorsebeam::config_versions
