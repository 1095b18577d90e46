// Lines for the operators, on standard error: structured, as text or JSON, over spdlog.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::net {

using Fields = std::vector<std::pair<const char*, std::string>>;  // names are literals

enum class LogFormat { Text, Json };
void set_log_format(LogFormat format);  // at the start, and at a reload

// Text: "gorsebeam: KIND: TEXT name=value". JSON: one object a line, with "time" (Unix ms), "kind",
// "text" and the fields. At most kLogBurst lines of one kind a second; what is left out is counted
// in the next line of that kind.
constexpr int kLogBurst = 5;
void log_line(const char* kind, const std::string& text, const Fields& fields = {});

}  // namespace gorsebeam::net
