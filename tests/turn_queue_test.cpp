/// Connections that take turns at expensive work.
#include "frontend/turn_queue.h"

#include <gtest/gtest.h>

namespace gorsebeam::frontend {
namespace {

struct Connection {};

class TurnQueueTest : public testing::Test {
protected:
  TurnQueue<Connection> queue_;
  Connection first_;
  Connection second_;
};

TEST_F(TurnQueueTest, WorkIsDoneInATurnOnly) {
  EXPECT_FALSE(queue_.try_use_turn(first_));
  EXPECT_EQ(queue_.begin_turn(), &first_);
  EXPECT_TRUE(queue_.try_use_turn(first_));
  EXPECT_FALSE(queue_.try_use_turn(first_));
}

// Guards against a connection that keeps others waiting by sending without a pause.
TEST_F(TurnQueueTest, AConnectionWithMoreWorkComesAfterTheOthers) {
  EXPECT_FALSE(queue_.try_use_turn(first_));
  EXPECT_FALSE(queue_.try_use_turn(second_));
  EXPECT_EQ(queue_.begin_turn(), &first_);
  EXPECT_TRUE(queue_.try_use_turn(first_));
  EXPECT_FALSE(queue_.try_use_turn(first_));
  EXPECT_EQ(queue_.begin_turn(), &second_);
  EXPECT_FALSE(queue_.try_use_turn(first_));
  EXPECT_TRUE(queue_.try_use_turn(second_));
  EXPECT_EQ(queue_.begin_turn(), &first_);
  EXPECT_TRUE(queue_.is_empty());
}

TEST_F(TurnQueueTest, ATurnThatIsNotUsedEnds) {
  EXPECT_FALSE(queue_.try_use_turn(first_));
  EXPECT_EQ(queue_.begin_turn(), &first_);
  EXPECT_EQ(queue_.begin_turn(), nullptr);
  EXPECT_FALSE(queue_.try_use_turn(first_));
}

TEST_F(TurnQueueTest, ARemovedConnectionGetsNoTurn) {
  EXPECT_FALSE(queue_.try_use_turn(first_));
  EXPECT_FALSE(queue_.try_use_turn(second_));
  queue_.remove(first_);
  EXPECT_EQ(queue_.begin_turn(), &second_);
  queue_.remove(second_);
  EXPECT_FALSE(queue_.try_use_turn(second_));
}

}  // namespace
}  // namespace gorsebeam::frontend
