#include "net/output_buffer.h"

#include "net/input_buffer.h"

#include <gtest/gtest.h>

namespace gorsebeam::net {
namespace {

TEST(OutputBuffer, KeepsWhatTheKernelHasNotAcceptedAndCountsItsMemory) {
  const std::size_t before = total_buffered_bytes();
  OutputBuffer buffer;
  buffer.append_unsent({"abc", "defg"}, 4);
  buffer.append_unsent({"hi"}, 0);
  EXPECT_EQ(buffer.unsent(), "efghi");
  EXPECT_EQ(total_buffered_bytes() - before, 5U);

  buffer.mark_sent(4);
  EXPECT_EQ(buffer.unsent(), "i");
  EXPECT_FALSE(buffer.all_sent());
  EXPECT_EQ(buffer.size(), 5U) << "sent bytes stay in memory until the release";

  buffer.release();
  EXPECT_TRUE(buffer.all_sent());
  EXPECT_EQ(total_buffered_bytes(), before);
}

}  // namespace
}  // namespace gorsebeam::net
