#include "connection_admission/connection_admission.h"

#include <gtest/gtest.h>

namespace gorsebeam::connection_admission {
namespace {

constexpr TimePoint kNow(100s);
using Order = std::vector<std::size_t>;

IdleConnection idle_for(Duration idle_time, std::size_t index, std::size_t answered_requests) {
  return {index, kNow - idle_time, answered_requests};
}

TEST(ConnectionAdmission, EvictsUnusedThenLongestIdleAndNoneActiveWithin50Ms) {
  const std::vector<IdleConnection> idle = {idle_for(900ms, 0, 2), idle_for(60ms, 1, 0),
                                            idle_for(49ms, 2, 0), idle_for(3000ms, 3, 1),
                                            idle_for(50ms, 4, 0)};

  EXPECT_EQ(rank_evictable(idle, kNow), (Order{1, 4, 3, 0}));
  EXPECT_TRUE(rank_evictable({idle_for(10ms, 0, 1)}, kNow).empty());
}

/// The connections that a caller closes, in order, when `connected` of `max_connections` are open.
Order closed_in_order(const std::vector<IdleConnection>& idle, std::size_t connected,
                      std::size_t max_connections) {
  Order order;
  for (const CloseCandidate& candidate : rank_surplus(idle, kNow, connected, max_connections)) {
    if (connected <= candidate.close_above)
      continue;
    order.push_back(candidate.index);
    --connected;
  }
  return order;
}

TEST(ConnectionAdmission, ClosesConnectionsUsedOnceAboveHalfOfTheCapacity) {
  const std::vector<IdleConnection> idle = {idle_for(1500ms, 0, 2), idle_for(300ms, 1, 1),
                                            idle_for(400ms, 2, 1), idle_for(99ms, 3, 1)};

  EXPECT_EQ(closed_in_order(idle, 53, 100), (Order{2, 1}));
  EXPECT_EQ(closed_in_order(idle, 51, 100), (Order{2}));
  EXPECT_EQ(closed_in_order(idle, 50, 100), Order{});
}

TEST(ConnectionAdmission, ClosesLongIdleAboveAQuarterAndUnusedAtFullCapacity) {
  const std::vector<IdleConnection> idle = {idle_for(2050ms, 0, 2), idle_for(2049ms, 1, 2),
                                            idle_for(200ms, 2, 0), idle_for(199ms, 3, 0)};

  EXPECT_EQ(closed_in_order(idle, 26, 100), (Order{0}));
  EXPECT_EQ(closed_in_order(idle, 25, 100), Order{});
  EXPECT_EQ(closed_in_order(idle, 100, 100), (Order{2, 0}));
  EXPECT_EQ(surplus_check_interval(51, 100), 50ms);
  EXPECT_EQ(surplus_check_interval(50, 100), 200ms);
}

}  // namespace
}  // namespace gorsebeam::connection_admission
