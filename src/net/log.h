/// The operators' log on standard error: one structured line per event, as text or JSON.
#pragma once

#include "logging/log_record.h"

namespace gorsebeam::net {

enum class LogFormat { Text, Json };

/// Applies to each line that is written after this call.
void set_log_format(LogFormat wanted);

/// The number of lines of one event name that are written within a second. Further lines are
/// suppressed and counted, and so are lines whose write would block on standard error.
constexpr int kMaxLinesPerSecond = 5;

/// Text: "gorsebeam: EVENT name=value". JSON: an object with "time" (Unix ms), "event" and the
/// fields. The first line after suppressed ones has their number in `suppressed`.
void log(logging::LogRecord record);

}  // namespace gorsebeam::net
