#include "log.h"

#include <glib.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <map>
#include <memory>

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

// A value stands bare where it is one word, else in quotes; nothing that a peer sends starts a line
// of its own.
std::string word(const std::string& value) {
  std::string clean;
  bool bare = !value.empty();
  for (const char c : value) {
    const bool control = static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
    bare &= !control && c != ' ' && c != '"' && c != '=';
    if (c == '"')
      clean += '\\';
    clean += control ? '?' : c;
  }
  return bare ? clean : '"' + clean + '"';
}

std::string plain(std::string text) {
  for (char& c : text)
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
      c = ' ';
  return text;
}

std::string json(const char* kind, const std::string& text, const Fields& fields, int left_out) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer, rapidjson::UTF8<>, rapidjson::ASCII<>> writer(buffer);
  const auto put = [&writer](const std::string& value) {
    gchar* valid = g_utf8_make_valid(value.data(), static_cast<gssize>(value.size()));
    writer.String(valid);
    g_free(valid);
  };
  writer.StartObject();
  writer.Key("time");
  writer.Int64(g_get_real_time() / 1000);
  writer.Key("kind");
  writer.String(kind);
  writer.Key("text");
  put(text);
  for (const auto& [name, value] : fields) {
    writer.Key(name);
    put(value);
  }
  if (left_out > 0) {
    writer.Key("left_out_before");
    writer.Int(left_out);
  }
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace

void set_log_format(LogFormat wanted) {
  format = wanted;
}

void log_line(const char* kind, const std::string& text, const Fields& fields) {
  struct Recent {
    gint64 since = 0;
    int lines = 0, left_out = 0;
  };

  static std::map<std::string, Recent> kinds;  // kinds are literals: a few
  Recent& recent = kinds[kind];
  const gint64 now = g_get_monotonic_time();
  if (recent.since == 0 || now - recent.since >= G_USEC_PER_SEC)
    recent.since = now, recent.lines = 0;
  if (++recent.lines > kLogBurst) {
    ++recent.left_out;
    return;
  }
  const int left_out = recent.left_out;
  recent.left_out = 0;
  if (format == LogFormat::Json)
    return logger().info("{}", json(kind, text, fields, left_out));
  std::string line = std::string("gorsebeam: ") + kind + ": " + plain(text);
  for (const auto& [name, value] : fields)
    line += std::string(" ") + name + "=" + word(value);
  if (left_out > 0)
    line += " (" + std::to_string(left_out) + " such lines left out before)";
  logger().info("{}", line);
}

}  // namespace gorsebeam::net
