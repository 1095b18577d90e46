#include "connection_admission.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace gorsebeam::connection_admission {
namespace {

// Clients of the platform may rely on an idle connection for 2 s. It is closed earlier only while
// all capacity is in use, or after a single request while more than half of the capacity is in use.
constexpr Duration kMinIdleTime = 2050ms;
constexpr Duration kMinUnusedTime = 200ms;
// In recorded traffic, nine of ten second requests on a connection followed sooner than this.
constexpr Duration kMinIdleTimeAfterOneRequest = 100ms;
constexpr Duration kMinIdleTimeForEviction = 50ms;
constexpr Duration kBusyCheckInterval = 50ms;
constexpr Duration kRegularCheckInterval = 200ms;

bool closes_before(const IdleConnection& left, const IdleConnection& right) {
  return std::tuple(left.answered_requests > 0, left.idle_since, left.index) <
         std::tuple(right.answered_requests > 0, right.idle_since, right.index);
}

void append(std::vector<CloseCandidate>& candidates, const std::vector<CloseCandidate>& more) {
  candidates.insert(candidates.end(), more.begin(), more.end());
}

}  // namespace

std::vector<std::size_t> rank_evictable(std::vector<IdleConnection> idle, TimePoint now) {
  std::sort(idle.begin(), idle.end(), closes_before);
  std::vector<std::size_t> ranked;
  for (const IdleConnection& connection : idle) {
    if (now - connection.idle_since >= kMinIdleTimeForEviction)
      ranked.push_back(connection.index);
  }
  return ranked;
}

std::vector<CloseCandidate> rank_surplus(std::vector<IdleConnection> idle, TimePoint now,
                                         std::size_t connected, std::size_t max_connections) {
  std::sort(idle.begin(), idle.end(), closes_before);
  std::vector<CloseCandidate> unused;
  std::vector<CloseCandidate> long_idle;
  std::vector<CloseCandidate> used_once;
  for (const IdleConnection& connection : idle) {
    const Duration idle_time = now - connection.idle_since;
    const std::size_t answered = connection.answered_requests;
    if (answered == 0 && connected >= max_connections && idle_time >= kMinUnusedTime)
      unused.push_back({connection.index, 0});
    else if (idle_time >= kMinIdleTime)
      long_idle.push_back({connection.index, max_connections / 4});
    else if (answered == 1 && idle_time >= kMinIdleTimeAfterOneRequest)
      used_once.push_back({connection.index, max_connections / 2});
  }
  std::vector<CloseCandidate> ranked = std::move(unused);
  append(ranked, long_idle);
  append(ranked, used_once);
  return ranked;
}

Duration surplus_check_interval(std::size_t connected, std::size_t max_connections) {
  return connected > max_connections / 2 ? kBusyCheckInterval : kRegularCheckInterval;
}

}  // namespace gorsebeam::connection_admission
