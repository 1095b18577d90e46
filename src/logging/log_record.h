/// Builds records of the operators' log. Each record has a stable event name and fields and becomes
/// one line. The functions are pure; `net/log` writes the lines.
#pragma once

#include "gorsebeam/actions.h"
#include "gorsebeam/events.h"
#include "gorsebeam/log_messages.h"

#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::logging {

/// Names and values of fields, in the order in which they are written. Names are string literals.
using Fields = std::vector<std::pair<const char*, std::string>>;

struct LogRecord {
  const char* event = "";  ///< A string literal, such as "endpoint_ejected".
  Fields fields;
};

/// Converts a log message of the router to a record.
[[nodiscard]] LogRecord to_record(const LogMessage& message);

/// The value of the log field `reason` for `reason`, such as "out_of_time".
[[nodiscard]] const char* reason_name(AnswerReason reason);

/// The value of the log field `waited_for` for `reason`, such as "slow_start".
[[nodiscard]] const char* wait_reason_name(WaitReason reason);

/// The value of the log field `status` for `status`, such as "connect_failed".
[[nodiscard]] const char* status_name(AttemptStatus status);

/// Formats a record as text, such as "endpoint_ejected endpoint=7 reason=consecutive_timeouts". A
/// value that is empty or contains a space, a quotation mark, '=' or a control character is quoted.
/// Control characters are replaced by '?', so that no value can start a new line.
[[nodiscard]] std::string to_text(const LogRecord& record);

}  // namespace gorsebeam::logging
