// Guards against deadlines that are forwarded too long: requests were dated by the iteration of the
// event loop that handled them, not by the arrival of their bytes.
#include "net/input_arrival_times.h"

#include <gtest/gtest.h>

namespace gorsebeam::net {
namespace {

constexpr TimePoint kStart(1000s);

TEST(InputArrivalTimes, KeepsTheTimeOfEachRead) {
  InputArrivalTimes times;
  times.append(10, kStart);
  times.append(5, kStart + 1s);
  EXPECT_EQ(times.earliest_arrival_of(9), kStart);
  EXPECT_EQ(times.earliest_arrival_of(10), kStart + 1s);
  EXPECT_EQ(times.earliest_arrival_of(14), kStart + 1s);
}

TEST(InputArrivalTimes, CountsOffsetsFromTheFirstByteThatIsNotConsumed) {
  InputArrivalTimes times;
  times.append(10, kStart);
  times.append(5, kStart + 1s);
  times.consume(4);
  EXPECT_EQ(times.earliest_arrival_of(5), kStart);
  EXPECT_EQ(times.earliest_arrival_of(6), kStart + 1s);
  times.consume(8);
  EXPECT_EQ(times.earliest_arrival_of(0), kStart + 1s);
  times.consume(3);
  times.append(1, kStart + 2s);
  EXPECT_EQ(times.earliest_arrival_of(0), kStart + 2s);
}

TEST(InputArrivalTimes, DoesNotLetAByteArriveBeforeThoseBeforeIt) {
  InputArrivalTimes times;
  times.append(1, kStart + 1s);
  times.append(1, kStart);
  EXPECT_EQ(times.earliest_arrival_of(1), kStart + 1s);
}

TEST(InputArrivalTimes, DatesBytesEarlierWhereThereAreTooManyTimes) {
  constexpr int kReads = 1000;
  InputArrivalTimes times;
  for (int i = 0; i < kReads; ++i)
    times.append(1, kStart + i * 10ms);
  TimePoint previous{};
  for (int i = 0; i < kReads; ++i) {
    const TimePoint earliest = times.earliest_arrival_of(static_cast<std::size_t>(i));
    EXPECT_LE(earliest, kStart + i * 10ms);
    EXPECT_GE(earliest, previous);
    previous = earliest;
  }
  EXPECT_EQ(times.earliest_arrival_of(0), kStart);
}

}  // namespace
}  // namespace gorsebeam::net
