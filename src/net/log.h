/// The operators' log, on standard error: one structured line an event, as text or JSON.
#pragma once

#include "logging/log_record.h"

namespace gorsebeam::net {

enum class LogFormat { Text, Json };

/// Applies to every line from now on.
void set_log_format(LogFormat wanted);

/// Lines of one event name that are written within a second; more are counted and left out, and so
/// are those that would have to wait for the reader of standard error.
constexpr int kMaxLinesPerSecond = 5;

/// Text: "gorsebeam: EVENT name=value". JSON: an object with "time" (Unix ms), "event" and the
/// fields. The first line after some were left out says how many in `suppressed`.
void log(logging::LogRecord record);

}  // namespace gorsebeam::net
