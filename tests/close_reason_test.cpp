// The texts are sent to clients and logged: clients and operators match on them.
#include "frontend/close_reason.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace gorsebeam::frontend {
namespace {

TEST(RejectReason, HasTheTextThatClientsReceive) {
  const std::vector<std::pair<RejectReason, const char*>> texts = {
      {RejectReason::NothingSent, "nothing was said"},
      {RejectReason::IncompleteMessage, "a message did not end"},
      {RejectReason::ResponseNotRead, "an answer was not taken"},
      {RejectReason::TooManyConnections, "too many connections"},
      {RejectReason::MemoryLimitExceeded, "memory is short"},
  };
  for (const auto& [reason, text] : texts)
    EXPECT_STREQ(text_of(reason), text);
}

TEST(CloseReason, KeepsTheLogValueOfAnEvictedConnection) {
  EXPECT_STREQ(name_of(CloseReason::Evicted), "replaced");
}

}  // namespace
}  // namespace gorsebeam::frontend
