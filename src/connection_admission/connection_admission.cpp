#include "connection_admission.h"

#include <algorithm>
#include <tuple>

namespace gorsebeam::connection_admission {
namespace {
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kIdleLeast =
    2050 * kMs;  // the platform's clients may count on 2 s where there is no need
constexpr Nanos kSilentLeast = 200 * kMs;  // one that never asked makes room for others after this
constexpr Nanos kOnceLeast =
    100 * kMs;  // of uses again, nine in ten came sooner on the recorded days
constexpr Nanos kPressedLeast = 50 * kMs;

bool older(const IdleConnection& a, const IdleConnection& b) {
  return std::tuple(a.answered > 0, a.since, a.index) <
         std::tuple(b.answered > 0, b.since, b.index);
}
}  // namespace

std::vector<std::size_t> room_for_new(std::vector<IdleConnection> idle, Nanos now) {
  std::sort(idle.begin(), idle.end(), older);
  std::vector<std::size_t> order;
  for (const IdleConnection& one : idle)
    if (now - one.since >= kPressedLeast)
      order.push_back(one.index);
  return order;
}

std::vector<CloseCandidate> retire(std::vector<IdleConnection> idle, Nanos now,
                                   std::size_t connected, std::size_t most) {
  std::sort(idle.begin(), idle.end(), older);
  std::vector<CloseCandidate> silent, rested, once;
  for (const IdleConnection& one : idle) {
    const Nanos rest = now - one.since;
    if (one.answered == 0 && connected >= most && rest >= kSilentLeast)
      silent.push_back({one.index, 0});
    else if (rest >= kIdleLeast)
      rested.push_back({one.index, most / 4});
    else if (one.answered == 1 && rest >= kOnceLeast)
      once.push_back({one.index, most / 2});
  }
  silent.insert(silent.end(), rested.begin(), rested.end());
  silent.insert(silent.end(), once.begin(), once.end());
  return silent;
}

Nanos again(std::size_t connected, std::size_t most) {
  return connected > most / 2 ? 50 * kMs : 200 * kMs;
}

}  // namespace gorsebeam::connection_admission
