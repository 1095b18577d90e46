#include "token_buckets.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::rate_limit {
namespace {
constexpr double kNanosPerSecond = 1e9;
}

double TokenBuckets::tokens_at(const Bucket& bucket, TimePoint now) {
  const double added =
      to_double(now - bucket.updated_at) / kNanosPerSecond * bucket.rate.per_second;
  return std::min(bucket.rate.burst, bucket.tokens + added);
}

void TokenBuckets::replace_rates(const std::map<std::string, Rate>& rates, TimePoint now) {
  std::map<std::string, Bucket> buckets;
  for (const auto& [team, rate] : rates) {
    Bucket bucket{rate, rate.burst, now};
    const auto previous = buckets_.find(team);
    if (previous != buckets_.end())
      bucket.tokens = std::min(rate.burst, tokens_at(previous->second, now));
    buckets.emplace(team, bucket);
  }
  buckets_ = std::move(buckets);
}

Duration TokenBuckets::try_acquire(const std::string& team, TimePoint now) {
  const auto found = buckets_.find(team);
  if (found == buckets_.end())
    return 0ms;
  Bucket& bucket = found->second;
  bucket.tokens = tokens_at(bucket, now);
  bucket.updated_at = now;
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return 0ms;
  }
  const double seconds = (1 - bucket.tokens) / bucket.rate.per_second;
  return std::max<Duration>(1ns, to_duration(seconds * kNanosPerSecond));
}

}  // namespace gorsebeam::rate_limit
