/// Limits the control frames that a peer may send, in proportion to the data frames. It does no I/O
/// and reads no clock.
#pragma once

#include "gorsebeam/time.h"

namespace gorsebeam::grpc {

/// Control frames (frames without data) that a peer may send in one second, in addition to those
/// that data frames permit.
constexpr int kBaseControlFramesPerSecond = 200;

/// Control frames that each data frame permits: a WINDOW_UPDATE for the stream, another for the
/// connection, a PING of a server that measures its bandwidth-delay product, and its
/// acknowledgement.
constexpr int kControlFramesPerDataFrame = 4;

/// Counts frames in intervals of at least one second. An interval begins with the first control
/// frame that arrives one second or more after the start of the previous interval.
class FrameRateLimiter {
public:
  enum class LimitStatus { WithinLimit, LimitExceeded };

  /// Counts a data frame in either direction.
  void count_data_frame() { ++data_frames_; }

  /// Counts a control frame of the peer. Returns whether the control frames of the current interval
  /// are within the limit.
  [[nodiscard]] LimitStatus count_control_frame(TimePoint now);

private:
  /// The frames of the current interval.
  int control_frames_ = 0;
  int data_frames_ = 0;
  /// The data frames of the previous interval, as the control frames that they cause may arrive
  /// later.
  int previous_data_frames_ = 0;
  TimePoint interval_started_at_{};
};

}  // namespace gorsebeam::grpc
