#include "log.h"

#include <glib.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <map>
#include <memory>
#include <utility>

namespace gorsebeam::net {
namespace {

LogFormat format = LogFormat::Text;

spdlog::logger& logger() {
  static const auto made = [] {
    auto l = std::make_shared<spdlog::logger>("gorsebeam",
                                              std::make_shared<spdlog::sinks::stderr_sink_st>());
    l->set_pattern("%v");
    l->flush_on(spdlog::level::info);
    return l;
  }();
  return *made;
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
    gchar* valid = g_utf8_make_valid(value.data(), static_cast<gssize>(value.size()));
    writer.String(valid);
    g_free(valid);
  }
  writer.EndObject();
  return buffer.GetString();
}

/// What was written of one event name within the present second.
struct RecentLines {
  gint64 since = 0;
  int written = 0;
  int suppressed = 0;
};

/// Whether a line may be written now; moves the number of those left out before into `suppressed`.
bool admit_line(const char* event, int& suppressed) {
  static std::map<std::string, RecentLines> events;  // bounded: event names are literals
  RecentLines& recent = events[event];
  const gint64 now = g_get_monotonic_time();
  if (recent.since == 0 || now - recent.since >= G_USEC_PER_SEC) {
    recent.since = now;
    recent.written = 0;
  }
  ++recent.written;
  if (recent.written > kMaxLinesPerSecond) {
    ++recent.suppressed;
    return false;
  }
  suppressed = std::exchange(recent.suppressed, 0);
  return true;
}

}  // namespace

void set_log_format(LogFormat wanted) {
  format = wanted;
}

void log(logging::LogRecord record) {
  int suppressed = 0;
  if (!admit_line(record.event, suppressed))
    return;
  if (suppressed > 0)
    record.fields.emplace_back("suppressed", std::to_string(suppressed));
  const bool json = format == LogFormat::Json;
  logger().info("{}", json ? to_json(record) : "gorsebeam: " + logging::to_text(record));
}

}  // namespace gorsebeam::net
