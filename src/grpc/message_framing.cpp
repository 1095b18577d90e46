#include "message_framing.h"

#include <cstdint>
#include <utility>

namespace gorsebeam::grpc {
namespace {

constexpr std::size_t kPrefixSize = 5;
constexpr char kUncompressed = '\0';

std::uint32_t message_size(std::string_view prefix) {
  std::uint32_t size = 0;
  for (std::size_t i = 1; i < kPrefixSize; ++i)
    size = size << 8 | static_cast<unsigned char>(prefix[i]);
  return size;
}

}  // namespace

std::string frame_message(std::string_view message) {
  std::string bytes(1, kUncompressed);
  for (int shift = 24; shift >= 0; shift -= 8)
    bytes += static_cast<char>(message.size() >> shift & 0xff);
  return bytes.append(message);
}

const char* framing_error_message(FramingError error) {
  switch (error) {
  case FramingError::CompressedMessage:
    return "received a compressed message, but no compression was negotiated";
  case FramingError::MessageTooLong:
    return "received the length prefix of a message longer than 4 MiB";
  }
  return "";
}

common::Result<std::optional<std::string>, FramingError> MessageReader::next() {
  const std::optional<std::string> incomplete;
  if (error_)
    return *error_;
  if (bytes_.empty())
    return incomplete;
  if (bytes_[0] != kUncompressed)
    return fail(FramingError::CompressedMessage);
  if (bytes_.size() < kPrefixSize)
    return incomplete;
  const std::uint32_t size = message_size(bytes_);
  if (size > kMaxMessageBytes)
    return fail(FramingError::MessageTooLong);
  if (bytes_.size() < kPrefixSize + size)
    return incomplete;
  std::optional<std::string> message(bytes_.substr(kPrefixSize, size));
  bytes_.erase(0, kPrefixSize + size);
  if (bytes_.empty())
    std::string().swap(bytes_);  // frees the memory while the stream is idle
  return {std::move(message)};
}

FramingError MessageReader::fail(FramingError error) {
  error_ = error;
  return error;
}

}  // namespace gorsebeam::grpc
