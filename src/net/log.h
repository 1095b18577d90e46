/// The operators' log on standard error: one structured line per event, as text or JSON.
#pragma once

#include "logging/log_record.h"

namespace gorsebeam::net {

enum class LogFormat { Text, Json };

/// Sets the format of each line that is written after this call.
void set_log_format(LogFormat format);

/// The maximum number of lines with one event name that are written within a second. Further lines
/// are suppressed and counted, and so are lines whose write to standard error would block.
constexpr int kMaxLinesPerSecond = 5;

/// Writes one line to the log. As text it is "gorsebeam: EVENT name=value ..."; as JSON it is an
/// object with "time" (in Unix milliseconds), "event" and the fields. Each line has the field
/// `uptime_ms`, the time since the first line, which a change of the system clock does not affect.
/// The first line after suppressed lines of the same event has their number in the field
/// `suppressed`.
void log(logging::LogRecord record);

}  // namespace gorsebeam::net
