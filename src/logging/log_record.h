/// One line of the operators' log: a stable event name and its fields. Pure; `net/log` writes the
/// line.
#pragma once

#include "gorsebeam/actions.h"
#include "gorsebeam/events.h"
#include "gorsebeam/log_messages.h"

#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::logging {

/// Names and values, in the order in which they are written. Names are string literals.
using Fields = std::vector<std::pair<const char*, std::string>>;

struct LogRecord {
  const char* event = "";  ///< A string literal, such as "endpoint_ejected".
  Fields fields;
};

/// The record of a message of the router.
[[nodiscard]] LogRecord to_record(const LogMessage& message);

/// A reason as log fields name it, such as "out_of_time".
[[nodiscard]] const char* reason_name(AnswerReason reason);

/// A status as log fields name it, such as "connect_failed".
[[nodiscard]] const char* status_name(AttemptStatus status);

/// Text such as "endpoint_ejected endpoint=7 reason=consecutive_timeouts". A value that is not a
/// single word is quoted, and control characters are replaced, so that no value can start a new
/// line.
[[nodiscard]] std::string to_text(const LogRecord& record);

}  // namespace gorsebeam::logging
