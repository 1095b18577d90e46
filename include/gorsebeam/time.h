/// The types for time that all modules share: durations, points in time and replication positions.
///
/// Integers represent time only where a wire protocol, a file format or GLib requires them; they
/// are converted where they are parsed or written.
#pragma once

#include <chrono>

namespace gorsebeam {

using namespace std::chrono_literals;  // for constants with a unit, such as 150ms

using Duration = std::chrono::nanoseconds;

/// Tag type for the embedding program's clock, which never goes back. The library reads no clock:
/// the program passes the time with each event. The gateway and the simulator adapter count from
/// the Unix epoch.
struct Clock;

/// A point in time. The default is the epoch, which stands for "long ago".
using TimePoint = std::chrono::time_point<Clock, Duration>;

/// A point in time that is never reached.
constexpr TimePoint kNever = TimePoint::max();

/// Tag type for the time scale of replication positions.
struct ReplicationLog;

/// How far an endpoint has applied its group's log: the time up to which it has applied all
/// commits. A separate type, so that a position is not mistaken for the time at which it was read.
using ReplicationPosition = std::chrono::time_point<ReplicationLog, Duration>;

/// The position of an endpoint that has applied all commits up to `time`.
constexpr ReplicationPosition position_at(TimePoint time) {
  return ReplicationPosition(time.time_since_epoch());
}

/// The time up to which an endpoint at `position` has applied all commits.
constexpr TimePoint time_of(ReplicationPosition position) {
  return TimePoint(position.time_since_epoch());
}

/// Nanoseconds as a floating-point number, for estimates.
constexpr double to_double(Duration duration) {
  return static_cast<double>(duration.count());
}

/// The duration of a number of nanoseconds, rounded toward zero.
constexpr Duration to_duration(double nanoseconds) {
  return Duration(static_cast<Duration::rep>(nanoseconds));
}

/// The quotient of two durations as a floating-point number; the operator / would truncate it.
constexpr double ratio(Duration dividend, Duration divisor) {
  return to_double(dividend) / to_double(divisor);
}

}  // namespace gorsebeam
