// gRPC's framing over a stream of bytes: a flag, a length of four bytes, and so many bytes of a
// message. Pure. Source: the published description of gRPC over HTTP/2.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gorsebeam::grpc {

constexpr std::size_t kMessageMost = 4 << 20;  // bytes

std::string framed(std::string_view message);  // uncompressed

class Reader {
public:
  enum class Step { More, Whole, Bad };

  void feed(std::string_view bytes) { bytes_.append(bytes); }

  // Whole: `message` is the next one. Bad: the stream is of no further use, and why() tells. A
  // length that is claimed allocates nothing; what is held is what came, at most one message of
  // kMessageMost and a read beyond it.
  Step next(std::string& message);

  const char* why() const { return why_; }

  bool between() const { return bytes_.empty(); }  // no message has begun

private:
  std::string bytes_;
  const char* why_ = "";
};

}  // namespace gorsebeam::grpc
