#include "grpc/message_framing.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace gorsebeam::grpc {
namespace {

using Message = std::optional<std::string>;

/// Expects that the reader returns the error `expected` now and at each later call.
void expect_final_error(MessageReader& reader, FramingError expected) {
  for (int call = 0; call < 2; ++call) {
    const auto message = reader.next();
    ASSERT_FALSE(message) << "call " << call;
    EXPECT_EQ(message.error(), expected) << "call " << call;
  }
  EXPECT_EQ(reader.error(), expected);
}

TEST(MessageReader, AssemblesMessagesFromSingleBytes) {
  MessageReader reader;
  const std::string bytes =
      frame_message("first") + frame_message("") + frame_message(std::string(70'000, 'x'));
  std::vector<std::size_t> sizes;

  for (const char byte : bytes) {
    reader.feed({&byte, 1});
    for (auto message = reader.next(); message && message.value(); message = reader.next())
      sizes.push_back(message.value()->size());
  }

  EXPECT_EQ(sizes, (std::vector<std::size_t>{5, 0, 70'000}));
  EXPECT_TRUE(reader.is_between_messages());
}

TEST(MessageReader, WaitsForMessageOfMaximumSize) {
  MessageReader reader;

  reader.feed({"\0\0\x40\0\0", 5});  // The length is 4 MiB.
  const auto message = reader.next();

  ASSERT_TRUE(message);
  EXPECT_EQ(message.value(), Message());
  EXPECT_FALSE(reader.is_between_messages());
}

// The reader must fail on the prefix alone, and not allocate memory for the announced message.
TEST(MessageReader, RejectsLengthAboveMaximum) {
  MessageReader reader;

  reader.feed({"\0\0\x40\0\1", 5});

  expect_final_error(reader, FramingError::MessageTooLong);
}

TEST(MessageReader, RejectsCompressedMessage) {
  MessageReader reader;

  reader.feed({"\1", 1});

  expect_final_error(reader, FramingError::CompressedMessage);
}

}  // namespace
}  // namespace gorsebeam::grpc
