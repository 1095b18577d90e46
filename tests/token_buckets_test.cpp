#include "grpc/message.h"
#include "rate_limit/token_buckets.h"

#include <gtest/gtest.h>

namespace gorsebeam {
namespace {
constexpr Nanos s = 1'000'000'000;

TEST(Budgets, ABucketHoldsItsBurstFillsAtItsRateAndSaysWhenTheNextFits) {
  rate_limit::TokenBuckets ledger;
  ledger.replace_rates({{"portal", {2, 3}}}, 0);
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(ledger.try_acquire("portal", 0), 0);
  EXPECT_EQ(ledger.try_acquire("portal", 0), s / 2);
  EXPECT_EQ(ledger.try_acquire("portal", s / 4), s / 4);  // a refused one takes nothing
  EXPECT_EQ(ledger.try_acquire("portal", s / 2), 0);
  EXPECT_EQ(ledger.try_acquire("portal", 100 * s), 0);  // a long rest fills no more than the burst
  EXPECT_EQ(ledger.try_acquire("portal", 100 * s), 0);
  EXPECT_EQ(ledger.try_acquire("portal", 100 * s), 0);
  EXPECT_GT(ledger.try_acquire("portal", 100 * s), 0);
  EXPECT_EQ(ledger.try_acquire("without", 0), 0);
}

TEST(Budgets, AChangeOfRatesGivesNoTeamAFreshBucketAndForgetsThoseThatAreGone) {
  rate_limit::TokenBuckets ledger;
  ledger.replace_rates({{"portal", {1, 10}}, {"gone", {1, 1}}}, 0);
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(ledger.try_acquire("portal", 0), 0);
  ledger.replace_rates({{"portal", {1, 20}}, {"new", {1, 1}}}, 0);
  EXPECT_EQ(ledger.size(), 2u);
  EXPECT_EQ(ledger.try_acquire("portal", 0), s);  // what it had used up stays used up
  EXPECT_EQ(ledger.try_acquire("gone", 0), 0);
  EXPECT_EQ(ledger.try_acquire("new", 0), 0);
  ledger.replace_rates({{"portal", {1, 2}}}, 100 * s);  // and a smaller burst binds at once
  EXPECT_EQ(ledger.try_acquire("portal", 100 * s), 0);
  EXPECT_EQ(ledger.try_acquire("portal", 100 * s), 0);
  EXPECT_GT(ledger.try_acquire("portal", 100 * s), 0);
}

TEST(GrpcMessages, ComeInPiecesAndLiesEndTheStreamBeforeAnythingIsHeldForThem) {
  using Step = grpc::Reader::Step;
  grpc::Reader reader;
  std::string message;
  const std::string bytes =
      grpc::framed("first") + grpc::framed("") + grpc::framed(std::string(70'000, 'x'));
  std::vector<std::size_t> sizes;
  for (const char c : bytes) {
    reader.feed({&c, 1});
    while (reader.next(message) == Step::Whole)
      sizes.push_back(message.size());
  }
  EXPECT_EQ(sizes, (std::vector<std::size_t>{5, 0, 70'000}));
  EXPECT_TRUE(reader.between());
  reader.feed({"\0\0\x40\0\0", 5});  // 4 MiB: may be
  EXPECT_EQ(reader.next(message), Step::More);
  EXPECT_FALSE(reader.between());
  grpc::Reader longer, compressed;
  longer.feed({"\0\0\x40\0\1", 5});
  EXPECT_EQ(longer.next(message), Step::Bad);
  EXPECT_EQ(longer.next(message), Step::Bad);  // and stays so
  compressed.feed({"\1", 1});
  EXPECT_EQ(compressed.next(message), Step::Bad);
}

}  // namespace
}  // namespace gorsebeam
