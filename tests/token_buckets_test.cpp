#include "grpc/message_framing.h"
#include "rate_limit/token_buckets.h"

#include <gtest/gtest.h>

namespace gorsebeam {
namespace {
TEST(TokenBuckets, AdmitsBurstRefillsAtRateAndReturnsTimeUntilNextToken) {
  rate_limit::TokenBuckets buckets;
  buckets.replace_rates({{"portal", {2, 3}}}, TimePoint{});
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(buckets.try_acquire("portal", TimePoint{}), 0ms);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint{}), 500ms);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(250ms)),
            250ms);  // the rejected request took no token
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(500ms)), 0ms);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(100s)), 0ms);  // refills at most to the burst
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
  EXPECT_GT(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
  EXPECT_EQ(buckets.try_acquire("team_without_rate", TimePoint{}), 0ms);
}

TEST(TokenBuckets, KeepsTokensWhenRatesAreReplacedAndForgetsRemovedTeams) {
  rate_limit::TokenBuckets buckets;
  buckets.replace_rates({{"portal", {1, 10}}, {"removed", {1, 1}}}, TimePoint{});
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(buckets.try_acquire("portal", TimePoint{}), 0ms);
  buckets.replace_rates({{"portal", {1, 20}}, {"new", {1, 1}}}, TimePoint{});
  EXPECT_EQ(buckets.size(), 2U);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint{}), 1s);  // used tokens stay used
  EXPECT_EQ(buckets.try_acquire("removed", TimePoint{}), 0ms);
  EXPECT_EQ(buckets.try_acquire("new", TimePoint{}), 0ms);
  buckets.replace_rates({{"portal", {1, 2}}}, TimePoint(100s));  // a smaller burst applies at once
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
  EXPECT_EQ(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
  EXPECT_GT(buckets.try_acquire("portal", TimePoint(100s)), 0ms);
}

TEST(GrpcMessages, ComeInPiecesAndLiesEndTheStreamBeforeAnythingIsHeldForThem) {
  using Status = grpc::MessageReader::Status;
  grpc::MessageReader reader;
  std::string message;
  const std::string bytes = grpc::frame_message("first") + grpc::frame_message("") +
                            grpc::frame_message(std::string(70'000, 'x'));
  std::vector<std::size_t> sizes;
  for (const char c : bytes) {
    reader.feed({&c, 1});
    while (reader.next(message) == Status::Complete)
      sizes.push_back(message.size());
  }
  EXPECT_EQ(sizes, (std::vector<std::size_t>{5, 0, 70'000}));
  EXPECT_TRUE(reader.is_between_messages());
  reader.feed({"\0\0\x40\0\0", 5});  // 4 MiB: may be
  EXPECT_EQ(reader.next(message), Status::Incomplete);
  EXPECT_FALSE(reader.is_between_messages());
  grpc::MessageReader longer;
  grpc::MessageReader compressed;
  longer.feed({"\0\0\x40\0\1", 5});
  EXPECT_EQ(longer.next(message), Status::Malformed);
  EXPECT_EQ(longer.next(message), Status::Malformed);  // and stays so
  compressed.feed({"\1", 1});
  EXPECT_EQ(compressed.next(message), Status::Malformed);
}

}  // namespace
}  // namespace gorsebeam
