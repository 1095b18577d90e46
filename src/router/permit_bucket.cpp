#include "router/permit_bucket.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace gorsebeam::router {

void PermitBucket::refill(TimePoint now, double per_second, Duration validity, double capacity) {
  const double elapsed_seconds = ratio(std::max(now - refilled_at_, Duration(0)), 1s);
  refilled_at_ = std::max(refilled_at_, now);
  progress_ += per_second * elapsed_seconds;
  const double surplus = std::floor(progress_) - static_cast<double>(kMaxPermits);
  progress_ -= std::max(0.0, surplus);
  while (progress_ >= 1) {
    progress_ -= 1;
    // What remains of the progress was earned after the permit was complete.
    issued_at_.push_back(now - to_duration(progress_ / per_second * 1e9));
  }
  const auto limit =
      static_cast<std::size_t>(std::clamp(capacity, 1.0, static_cast<double>(kMaxPermits)));
  const auto first_valid = std::lower_bound(issued_at_.begin(), issued_at_.end(), now - validity);
  issued_at_.erase(issued_at_.begin(), first_valid);
  if (issued_at_.size() > limit)
    issued_at_.erase(issued_at_.begin(), issued_at_.end() - static_cast<std::ptrdiff_t>(limit));
}

void PermitBucket::spend(double cost) {
  progress_ -= cost - 1;
  if (!issued_at_.empty())
    issued_at_.erase(issued_at_.begin());
}

}  // namespace gorsebeam::router
