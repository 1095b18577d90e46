// Tests the parts of a gRPC session that do no I/O: the response headers, the limit on control
// frames and the send buffer.

#include "grpc/frame_rate_limiter.h"
#include "grpc/message_framing.h"
#include "grpc/response_headers.h"
#include "grpc/send_buffer.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <string>

namespace gorsebeam::grpc {
namespace {

using LimitStatus = FrameRateLimiter::LimitStatus;

/// Counts control frames until one exceeds the limit. Returns the number of frames within the
/// limit.
int count_accepted_control_frames(FrameRateLimiter& limiter, TimePoint now) {
  int accepted = 0;
  while (limiter.count_control_frame(now) == LimitStatus::WithinLimit)
    ++accepted;
  return accepted;
}

TEST(FrameRateLimiter, PermitsMoreControlFramesWithEachDataFrame) {
  FrameRateLimiter limiter;
  limiter.count_data_frame();
  limiter.count_data_frame();

  // The first control frame begins a new second; the data frames then belong to the previous one.
  const int accepted = count_accepted_control_frames(limiter, TimePoint(1s));

  EXPECT_EQ(accepted, kBaseControlFramesPerSecond + 2 * kControlFramesPerDataFrame);
}

TEST(FrameRateLimiter, ResetsEachSecondAndIgnoresOlderDataFrames) {
  FrameRateLimiter limiter;
  limiter.count_data_frame();
  count_accepted_control_frames(limiter, TimePoint(1s));

  EXPECT_EQ(count_accepted_control_frames(limiter, TimePoint(2s)), kBaseControlFramesPerSecond);
}

TEST(SendBuffer, ReadsFramedMessagesInPieces) {
  SendBuffer buffer;
  buffer.append("first");
  buffer.append("");
  const std::string expected = frame_message("first") + frame_message("");
  EXPECT_EQ(buffer.size(), expected.size());

  std::string read;
  std::array<std::uint8_t, 4> piece{};
  while (const std::size_t size = buffer.read(piece.data(), piece.size()))
    read.append(reinterpret_cast<const char*>(piece.data()), size);

  EXPECT_EQ(read, expected);
  EXPECT_EQ(buffer.size(), 0U);
}

TEST(ResponseHeaders, AcceptAGrpcResponse) {
  ResponseHeaders headers;
  headers.add(":status", "200");
  headers.add("content-type", "application/grpc+proto");

  EXPECT_FALSE(headers.validate());
}

TEST(ResponseHeaders, RejectOtherHttpStatusesAndContentTypes) {
  ResponseHeaders headers;
  headers.add(":status", "200");
  headers.add("content-type", "text/html");
  ASSERT_TRUE(headers.validate());
  EXPECT_EQ(headers.validate()->code, SessionError::Code::NotGrpc);

  headers.add(":status", "503");
  EXPECT_EQ(headers.validate()->code, SessionError::Code::HttpStatus);
  EXPECT_EQ(headers.validate()->message, "the response has HTTP status 503 instead of 200");
}

TEST(ResponseHeaders, ReportWhyTheCallEnded) {
  ResponseHeaders headers;
  EXPECT_EQ(headers.call_ended_error("NO_ERROR").message,
            "the peer ended the call without a gRPC status; HTTP/2 error code NO_ERROR");

  headers.add("grpc-status", "14");
  EXPECT_EQ(headers.call_ended_error("NO_ERROR").message,
            "the peer ended the call with gRPC status 14");

  headers.add("grpc-message", std::string(2 * kMaxHeaderValueBytes, 'x'));
  EXPECT_EQ(headers.call_ended_error("NO_ERROR").message,
            "the peer ended the call with gRPC status 14: " +
                std::string(kMaxHeaderValueBytes, 'x'));
}

}  // namespace
}  // namespace gorsebeam::grpc
