// Lines for the operators, on standard error.
#pragma once

#include <string>

namespace gorsebeam::net {

// Writes "gorsebeam: KIND: TEXT". At most kLogBurst lines of one kind a second; what is left out is counted
// in the next line of that kind.
constexpr int kLogBurst = 5;
void log_line(const char* kind, const std::string& text);

} // namespace gorsebeam::net
