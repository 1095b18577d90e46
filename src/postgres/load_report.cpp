#include "load_report.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>

namespace gorsebeam::postgres {
namespace {

constexpr Duration kMaxClockSkew = 2s;
constexpr double kNanosPerMs = 1e6;
constexpr double kMsPerSecond = 1000;
constexpr double kMaxPositionSeconds = 1e11;  // a position in a report below this is in seconds
constexpr std::size_t kMaxNumberSize = 64;

std::optional<double> parse_number(std::string_view text) {
  const std::string copy(text.substr(0, kMaxNumberSize));
  char* end = nullptr;
  const double value = std::strtod(copy.c_str(), &end);
  if (copy.empty() || *end != '\0' || !std::isfinite(value))
    return std::nullopt;
  return value;
}

/// Returns the position at `unix_ms`, or nothing if it is negative or too far ahead of `now`.
std::optional<ReplicationPosition> position_from_unix_ms(double unix_ms, TimePoint now) {
  if (unix_ms < 0 || unix_ms * kNanosPerMs > to_double((now + kMaxClockSkew).time_since_epoch()))
    return std::nullopt;
  return ReplicationPosition(to_duration(std::floor(unix_ms * kNanosPerMs)));
}

/// Returns the position in a report. A report has it as Unix time in seconds, while a response has
/// it in milliseconds; so a value that is too large for seconds is read as milliseconds.
std::optional<ReplicationPosition> position_from_report(double value, TimePoint now) {
  return position_from_unix_ms(value < kMaxPositionSeconds ? value * kMsPerSecond : value, now);
}

/// Sets the field of `report` that the value `name` stands for. Returns false if the whole report
/// must be ignored.
bool apply_value(std::string_view name, double value, TimePoint now, LoadReport& report) {
  if (name == "x0") {
    // An endpoint that has not made its first report sends zeros. If they were read as a report,
    // each gateway that starts would conclude that no group has a primary. They also prove no
    // position.
    if (value == 0)
      return false;
    report.replication_position = position_from_report(value, now);
    return report.replication_position.has_value();
  }
  if (name == "x1")
    report.is_primary = value > 0.5;
  return true;
}

}  // namespace

std::optional<ReplicationPosition> parse_position(std::string_view text, TimePoint now) {
  const auto unix_ms = parse_number(text);
  return unix_ms ? position_from_unix_ms(*unix_ms, now) : std::nullopt;
}

std::optional<LoadReport> parse_load_report(std::string_view text, TimePoint now) {
  LoadReport report;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    const std::string_view name = pair.substr(0, pair.find('='));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const auto value = parse_number(pair.substr(std::min(pair.size(), name.size() + 1)));
    if (!value || !apply_value(name, *value, now, report))
      return std::nullopt;
  }
  return report;
}

}  // namespace gorsebeam::postgres
