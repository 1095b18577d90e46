#include "connection_admission/connection_admission.h"

#include <gtest/gtest.h>

namespace gorsebeam::connection_admission {
namespace {
constexpr Nanos ms = 1'000'000;
constexpr Nanos now = 100'000 * ms;
using Order = std::vector<std::size_t>;

TEST(Admission, ANewConnectionTakesTheRoomOfTheOneLeastLikelyToAsk) {
  // Those that never asked first, then by rest; whoever moved within 50 ms may have a request on
  // the way.
  const std::vector<IdleConnection> idle = {{0, now - 900 * ms, 2},
                                            {1, now - 60 * ms, 0},
                                            {2, now - 49 * ms, 0},
                                            {3, now - 3000 * ms, 1},
                                            {4, now - 50 * ms, 0}};
  EXPECT_EQ(room_for_new(idle, now), (Order{1, 4, 3, 0}));
  EXPECT_TRUE(room_for_new({{0, now - 10 * ms, 1}}, now).empty());
}

Order closed(const std::vector<IdleConnection>& idle, std::size_t connected, std::size_t most) {
  Order order;
  for (const CloseCandidate& close : retire(idle, now, connected, most))
    if (connected > close.above)
      order.push_back(close.index), --connected;
  return order;
}

TEST(Admission, ThoseThatAskedOnceMakeRoomBeyondHalfAndThoseThatCameBackDoNot) {
  const std::vector<IdleConnection> idle = {{0, now - 1500 * ms, 2},
                                            {1, now - 300 * ms, 1},
                                            {2, now - 400 * ms, 1},
                                            {3, now - 99 * ms, 1}};
  EXPECT_EQ(closed(idle, 53, 100), (Order{2, 1}));
  EXPECT_EQ(closed(idle, 51, 100), (Order{2}));
  EXPECT_EQ(closed(idle, 50, 100), Order{});
}

TEST(Admission, LongRestsEndBeyondAQuarterAndSilenceWhereAllIsInUse) {
  const std::vector<IdleConnection> idle = {{0, now - 2050 * ms, 2},
                                            {1, now - 2049 * ms, 2},
                                            {2, now - 200 * ms, 0},
                                            {3, now - 199 * ms, 0}};
  EXPECT_EQ(closed(idle, 26, 100), (Order{0}));
  EXPECT_EQ(closed(idle, 25, 100), Order{});
  EXPECT_EQ(closed(idle, 100, 100), (Order{2, 0}));
  EXPECT_EQ(again(51, 100), 50 * ms);
  EXPECT_EQ(again(50, 100), 200 * ms);
}

}  // namespace
}  // namespace gorsebeam::connection_admission
