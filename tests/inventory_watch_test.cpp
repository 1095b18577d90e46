// Guards against reading an inventory while it is being written.
#include "gateway/inventory_watch.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace gorsebeam::gateway {
namespace {

using State = InventoryWatch::State;

constexpr TimePoint kStart(1000s);

class InventoryWatchTest : public testing::Test {
protected:
  InventoryWatchTest() { append("first line\n"); }

  ~InventoryWatchTest() override { std::remove(path_.c_str()); }

  void append(const std::string& text) const { std::ofstream(path_, std::ios::app) << text; }

  const std::string path_ = testing::TempDir() + "inventory_watch_test.csv";
  InventoryWatch watch_;
};

TEST_F(InventoryWatchTest, IsSettledOnceAFileStaysUnchanged) {
  watch_.begin({path_}, kStart);
  append("second line\n");
  EXPECT_EQ(watch_.check(kStart + 200ms), State::Changing);
  EXPECT_EQ(watch_.check(kStart + 400ms), State::Settled);
}

TEST_F(InventoryWatchTest, NoticesAFileThatIsReplaced) {
  watch_.begin({path_}, kStart);
  const std::string other = path_ + ".new";
  std::ofstream(other) << "other line\n";
  ASSERT_EQ(std::rename(other.c_str(), path_.c_str()), 0);
  EXPECT_EQ(watch_.check(kStart + 200ms), State::Changing);
}

TEST_F(InventoryWatchTest, GivesUpOnFilesThatGoOnChanging) {
  watch_.begin({path_}, kStart);
  for (Duration waited = kInventorySettleTime; waited < kMaxInventoryWait;
       waited += kInventorySettleTime) {
    append("line\n");
    ASSERT_EQ(watch_.check(kStart + waited), State::Changing);
  }
  append("line\n");
  EXPECT_EQ(watch_.check(kStart + kMaxInventoryWait), State::GivenUp);
}

TEST_F(InventoryWatchTest, TakesAMissingFileForUnchanged) {
  watch_.begin({path_ + ".missing"}, kStart);
  EXPECT_EQ(watch_.check(kStart + 200ms), State::Settled);
}

}  // namespace
}  // namespace gorsebeam::gateway
