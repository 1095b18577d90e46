#include "pool_limits.h"

#include <algorithm>

namespace gorsebeam::connection_pool {
namespace {

// The pool closes an idle connection at most this long before its endpoint would.
constexpr Duration kMaxIdleTimeoutMargin = 3s;

}  // namespace

std::optional<Duration> idle_time_limit(const PoolLimits& limits) {
  if (!limits.idle_timeout)
    return std::nullopt;
  const Duration timeout = *limits.idle_timeout;
  return timeout - std::min<Duration>(timeout / 4, kMaxIdleTimeoutMargin);
}

}  // namespace gorsebeam::connection_pool
