#include "http2_frames.h"

namespace fake_control_plane {

namespace {

void append_big_endian(std::string& bytes, std::size_t value, int byte_count) {
  for (int shift = 8 * (byte_count - 1); shift >= 0; shift -= 8)
    bytes += static_cast<char>(value >> shift & 0xff);
}

}  // namespace

std::string http2_frame(Http2FrameType type, int flags, int stream, const std::string& payload) {
  std::string bytes;
  append_big_endian(bytes, payload.size(), 3);
  bytes += static_cast<char>(type);
  bytes += static_cast<char>(flags);
  append_big_endian(bytes, static_cast<std::size_t>(stream), 4);
  return bytes + payload;
}

std::string http2_settings_frame() {
  return http2_frame(Http2FrameType::Settings, kNoFlags, kConnectionStream, "");
}

std::string http2_grpc_headers_frame() {
  // The headers are encoded with HPACK: ":status 200" is entry 8 of the static table, and the name
  // "content-type" is entry 31, followed by a literal value without indexing.
  const std::string content_type = "application/grpc";
  const std::string headers =
      std::string("\x88\x0f\x10", 3) + static_cast<char>(content_type.size()) + content_type;
  return http2_frame(Http2FrameType::Headers, kEndHeaders, kFirstStream, headers);
}

}  // namespace fake_control_plane
