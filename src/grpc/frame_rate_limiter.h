/// Bounds the control frames that a peer may send, in proportion to the data. Pure.
#pragma once

#include "gorsebeam/time.h"

namespace gorsebeam::grpc {

/// Control frames (all frames without data) that are accepted in one second, in addition to those
/// that data frames permit.
constexpr int kBaseControlFramesPerSecond = 200;

/// Control frames that each data frame permits: a WINDOW_UPDATE for the stream and one for the
/// connection, a PING of a server that measures its bandwidth-delay product, and its
/// acknowledgement.
constexpr int kControlFramesPerDataFrame = 4;

/// Counts frames in seconds, the first of which begins with the first control frame.
class FrameRateLimiter {
public:
  enum class LimitStatus { WithinLimit, LimitExceeded };

  /// Counts a data frame in either direction.
  void count_data_frame() { ++data_frames_; }

  /// Counts a control frame of the peer.
  [[nodiscard]] LimitStatus count_control_frame(TimePoint now);

private:
  /// Frames of the current second.
  int control_frames_ = 0;
  int data_frames_ = 0;
  /// Data frames of the second before, as the control frames that they cause may arrive later.
  int previous_data_frames_ = 0;
  TimePoint second_started_at_{};
};

}  // namespace gorsebeam::grpc
