#include "message.h"

#include <cstdint>

namespace gorsebeam::grpc {
namespace {
constexpr std::size_t kHead = 5;
}

std::string framed(std::string_view message) {
  std::string bytes(1, '\0');
  for (int shift = 24; shift >= 0; shift -= 8)
    bytes += static_cast<char>(message.size() >> shift & 0xff);
  return bytes.append(message);
}

Reader::Step Reader::next(std::string& message) {
  if (*why_)
    return Step::Bad;
  if (bytes_.empty())
    return Step::More;
  if (bytes_[0] != '\0') {
    why_ = "a message is said to be compressed, which was not agreed";
    return Step::Bad;
  }
  if (bytes_.size() < kHead)
    return Step::More;
  std::uint32_t size = 0;
  for (std::size_t i = 1; i < kHead; ++i)
    size = size << 8 | static_cast<unsigned char>(bytes_[i]);
  if (size > kMessageMost) {
    why_ = "a message is said to be longer than 4 MiB";
    return Step::Bad;
  }
  if (bytes_.size() < kHead + size)
    return Step::More;
  message.assign(bytes_, kHead, size);
  bytes_.erase(0, kHead + size);
  if (bytes_.empty())
    std::string().swap(bytes_);
  return Step::Whole;
}

}  // namespace gorsebeam::grpc
