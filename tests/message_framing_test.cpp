#include "grpc/message_framing.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

namespace gorsebeam::grpc {
namespace {

using Status = MessageReader::Status;

TEST(MessageReader, AssemblesMessagesFromSingleBytes) {
  MessageReader reader;
  std::string message;
  const std::string bytes =
      frame_message("first") + frame_message("") + frame_message(std::string(70'000, 'x'));
  std::vector<std::size_t> sizes;
  for (const char byte : bytes) {
    reader.feed({&byte, 1});
    while (reader.next(message) == Status::Complete)
      sizes.push_back(message.size());
  }
  EXPECT_EQ(sizes, (std::vector<std::size_t>{5, 0, 70'000}));
  EXPECT_TRUE(reader.is_between_messages());
}

TEST(MessageReader, WaitsForMessageOfMaximumSize) {
  MessageReader reader;
  std::string message;
  reader.feed({"\0\0\x40\0\0", 5});  // 4 MiB
  EXPECT_EQ(reader.next(message), Status::Incomplete);
  EXPECT_FALSE(reader.is_between_messages());
}

// The reader allocates nothing for such a message and stays in this state.
TEST(MessageReader, RejectsLengthAboveMaximum) {
  MessageReader reader;
  std::string message;
  reader.feed({"\0\0\x40\0\1", 5});
  EXPECT_EQ(reader.next(message), Status::Malformed);
  EXPECT_EQ(reader.next(message), Status::Malformed);
  EXPECT_EQ(reader.error(), FramingError::MessageTooLong);
}

TEST(MessageReader, RejectsCompressedMessage) {
  MessageReader reader;
  std::string message;
  reader.feed({"\1", 1});
  EXPECT_EQ(reader.next(message), Status::Malformed);
  EXPECT_EQ(reader.error(), FramingError::CompressedMessage);
}

}  // namespace
}  // namespace gorsebeam::grpc
