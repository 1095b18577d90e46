#include "frame_rate_limiter.h"

#include <utility>

namespace gorsebeam::grpc {

FrameRateLimiter::LimitStatus FrameRateLimiter::count_control_frame(TimePoint now) {
  if (now - interval_started_at_ >= 1s) {
    interval_started_at_ = now;
    control_frames_ = 0;
    previous_data_frames_ = std::exchange(data_frames_, 0);
  }
  ++control_frames_;
  const int permitted = kBaseControlFramesPerSecond +
                        kControlFramesPerDataFrame * (data_frames_ + previous_data_frames_);
  return control_frames_ <= permitted ? LimitStatus::WithinLimit : LimitStatus::LimitExceeded;
}

}  // namespace gorsebeam::grpc
