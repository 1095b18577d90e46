/// Builds valid and invalid HTTP/2 frames byte by byte.
#pragma once

#include <string>

namespace fake_control_plane {

/// The frame types of RFC 9113, section 6, that the tests send.
enum class Http2FrameType { Data = 0, Headers = 1, Settings = 4, Ping = 6, GoAway = 7 };

constexpr int kNoFlags = 0;
constexpr int kEndStream = 1;
constexpr int kEndHeaders = 4;

/// The stream number of frames that concern the whole connection.
constexpr int kConnectionStream = 0;
/// The number of the first stream that the gateway opens.
constexpr int kFirstStream = 1;

/// Returns a frame in the layout of RFC 9113, section 4.1.
std::string http2_frame(Http2FrameType type, int flags, int stream, const std::string& payload);

/// Returns an empty SETTINGS frame.
std::string http2_settings_frame();

/// Returns a HEADERS frame on stream 1: `:status` 200 and `content-type` application/grpc.
std::string http2_grpc_headers_frame();

}  // namespace fake_control_plane
