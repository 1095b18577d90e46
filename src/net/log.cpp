#include "log.h"

#include "handles.h"

#include <glib.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <map>
#include <memory>
#include <optional>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace gorsebeam::net {
namespace {

LogFormat current_format = LogFormat::Text;

std::shared_ptr<spdlog::logger> create_logger() {
  auto created = std::make_shared<spdlog::logger>(
      "gorsebeam", std::make_shared<spdlog::sinks::stderr_sink_st>());
  created->set_pattern("%v");
  created->flush_on(spdlog::level::info);
  return created;
}

spdlog::logger& logger() {
  static const std::shared_ptr<spdlog::logger> kLogger = create_logger();
  return *kLogger;
}

std::string to_json(const logging::LogRecord& record) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer, rapidjson::UTF8<>, rapidjson::ASCII<>> writer(buffer);
  writer.StartObject();
  writer.Key("time");
  writer.Int64(g_get_real_time() / 1000);
  writer.Key("event");
  writer.String(record.event);
  for (const auto& [name, value] : record.fields) {
    writer.Key(name);
    const StringHandle valid(g_utf8_make_valid(value.data(), static_cast<gssize>(value.size())));
    writer.String(valid.get());
  }
  writer.EndObject();
  return buffer.GetString();
}

// Standard error may be a pipe whose reader has stopped; a write to a full pipe would block the
// whole process. A pipe that poll(2) reports as writable accepts a line without blocking. If a
// signal interrupts poll(2), standard error counts as writable.
bool is_log_writable() {
  pollfd descriptor{STDERR_FILENO, POLLOUT, 0};
  return poll(&descriptor, 1, 0) != 0;
}

/// How many lines with one event name were written in the current second, and how many were
/// suppressed since the last written line.
struct RecentLines {
  gint64 second_began_at = 0;  ///< In microseconds of the monotonic clock; 0: no line yet.
  int written = 0;
  int suppressed = 0;
};

/// The time since the process wrote its first line, in milliseconds of the monotonic clock.
gint64 log_uptime_ms() {
  static const gint64 kBeganAt = g_get_monotonic_time();
  return (g_get_monotonic_time() - kBeganAt) / 1000;
}

/// Returns how many lines with this event name were suppressed since the last written one, or
/// nothing if the current line is to be suppressed too.
std::optional<int> admit_line(const char* event) {
  static std::map<std::string, RecentLines> events;  // bounded in size: event names are literals
  RecentLines& recent = events[event];
  const gint64 now = g_get_monotonic_time();
  if (recent.second_began_at == 0 || now - recent.second_began_at >= G_USEC_PER_SEC) {
    recent.second_began_at = now;
    recent.written = 0;
  }
  ++recent.written;
  if (recent.written > kMaxLinesPerSecond || !is_log_writable()) {
    ++recent.suppressed;
    return std::nullopt;
  }
  return std::exchange(recent.suppressed, 0);
}

}  // namespace

void set_log_format(LogFormat format) {
  current_format = format;
}

void log(logging::LogRecord record) {
  const gint64 uptime_ms = log_uptime_ms();
  const std::optional<int> suppressed = admit_line(record.event);
  if (!suppressed)
    return;
  record.fields.emplace_back("uptime_ms", std::to_string(uptime_ms));
  if (*suppressed > 0)
    record.fields.emplace_back("suppressed", std::to_string(*suppressed));
  const bool is_json = current_format == LogFormat::Json;
  logger().info("{}", is_json ? to_json(record) : "gorsebeam: " + logging::to_text(record));
}

}  // namespace gorsebeam::net
