#include "apply_scheduler.h"

namespace gorsebeam::config_versions {

TimePoint ApplyScheduler::next_deadline(Duration interval) const {
  if (!requested_)
    return kNever;
  if (!last_applied_at_)
    return TimePoint{};
  return *last_applied_at_ + interval;
}

ApplyConfiguration ApplyScheduler::apply(TimePoint now, const AcceptedVersions& accepted) {
  ApplyConfiguration configuration;
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    const Version& running = accepted[i].running;
    configuration.bodies[i] = running.body;
    configuration.changed[i] = !last_applied_at_ || running.content_hash != applied_hashes_[i];
    applied_hashes_[i] = running.content_hash;
  }
  requested_ = false;
  last_applied_at_ = now;
  return configuration;
}

}  // namespace gorsebeam::config_versions
