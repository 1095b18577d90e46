#include "token_buckets.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::rate_limit {
namespace {
constexpr double kSecond = 1e9;
}

void TokenBuckets::replace_rates(std::map<std::string, Rate> rates, Nanos now) {
  std::map<std::string, Bucket> fresh;
  for (auto& [team, rate] : rates) {
    Bucket bucket{rate, rate.burst, now};
    const auto known = buckets_.find(team);
    if (known != buckets_.end()) {
      const Bucket& old = known->second;
      const double filled = static_cast<double>(now - old.at) / kSecond * old.rate.per_second;
      bucket.left = std::min({rate.burst, old.rate.burst, old.left + filled});
    }
    fresh.emplace(team, bucket);
  }
  buckets_ = std::move(fresh);
}

Nanos TokenBuckets::try_acquire(const std::string& team, Nanos now) {
  const auto found = buckets_.find(team);
  if (found == buckets_.end())
    return 0;
  Bucket& bucket = found->second;
  const double filled = static_cast<double>(now - bucket.at) / kSecond * bucket.rate.per_second;
  bucket.left = std::min(bucket.rate.burst, bucket.left + filled);
  bucket.at = now;
  if (bucket.left >= 1) {
    bucket.left -= 1;
    return 0;
  }
  return std::max<Nanos>(1,
                         static_cast<Nanos>((1 - bucket.left) / bucket.rate.per_second * kSecond));
}

}  // namespace gorsebeam::rate_limit
