#include "load_report.h"

#include "net/timer.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>

namespace gorsebeam::postgres {
namespace {

constexpr Duration kMaxClockSkew = 2s;
constexpr double kNanosPerMs = 1e6;
constexpr double kMsPerSecond = 1000;
constexpr double kMaxPositionSeconds = 1e11;  // a report's position below this is in seconds
constexpr std::size_t kMaxNumberSize = 64;

std::optional<double> parse_number(std::string_view text) {
  const std::string copy(text.substr(0, kMaxNumberSize));
  char* end = nullptr;
  const double value = std::strtod(copy.c_str(), &end);
  if (copy.empty() || *end != '\0' || !std::isfinite(value))
    return std::nullopt;
  return value;
}

std::optional<ReplicationPosition> position_at(double unix_ms) {
  if (unix_ms < 0 ||
      unix_ms * kNanosPerMs > to_double((net::now() + kMaxClockSkew).time_since_epoch()))
    return std::nullopt;
  return ReplicationPosition(to_duration(std::floor(unix_ms * kNanosPerMs)));
}

/// A report's position is a Unix time in seconds, while an answer's is in milliseconds. A value too
/// large to be seconds is read as milliseconds.
std::optional<ReplicationPosition> report_position_at(double value) {
  return position_at(value < kMaxPositionSeconds ? value * kMsPerSecond : value);
}

/// Reads one value of a report; returns false where the whole report is to be ignored.
bool read_value(std::string_view name, double value, LoadReport& report) {
  if (name == "x0") {
    // An endpoint that has not made its first report sends zeros. They would say that no group has
    // a primary, to each gateway that starts, and prove no position.
    if (value == 0)
      return false;
    report.replication_position = report_position_at(value);
    return report.replication_position.has_value();
  }
  if (name == "x1")
    report.is_primary = value > 0.5;
  return true;
}

}  // namespace

std::optional<ReplicationPosition> parse_position(std::string_view text) {
  const auto unix_ms = parse_number(text);
  return unix_ms ? position_at(*unix_ms) : std::nullopt;
}

void read_load_report(std::string_view text, LoadReport& report) {
  LoadReport parsed;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    const std::string_view name = pair.substr(0, pair.find('='));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const auto value = parse_number(pair.substr(std::min(pair.size(), name.size() + 1)));
    if (!value || !read_value(name, *value, parsed))
      return;
  }
  report = parsed;
}

}  // namespace gorsebeam::postgres
