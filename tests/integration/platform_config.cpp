#include "platform_config.h"

#include <functional>
#include <sstream>

namespace test_harness {
namespace {

using EncodeClass = std::function<std::string(const PlatformClass&)>;

std::string join(const std::vector<PlatformClass>& classes, const EncodeClass& encode) {
  std::string text;
  for (const PlatformClass& platform_class : classes) {
    if (!text.empty())
      text += ',';
    text += encode(platform_class);
  }
  return text;
}

std::string nanoseconds(int milliseconds) {
  return std::to_string(milliseconds * 1'000'000LL);
}

std::string encode_class(const PlatformClass& platform_class) {
  return R"({"name":")" + platform_class.name + R"(","aim":)" +
         nanoseconds(platform_class.latency_objective_ms) + R"(,"give_up":)" +
         nanoseconds(platform_class.deadline_ms) + R"(,"effect":")" + platform_class.effect +
         R"(","group":"cell","window":)" + nanoseconds(platform_class.deduplication_window_ms) +
         R"(,"worth":1,"late_worth":)" + platform_class.late_weight_fraction + "}";
}

std::string encode_read_level(const PlatformClass& platform_class) {
  return '"' + platform_class.read_level + '"';
}

std::string encode_max_lag(const PlatformClass& platform_class) {
  return nanoseconds(platform_class.max_staleness_ms);
}

}  // namespace

std::string encode_platform_config(const PlatformConfig& config) {
  std::ostringstream json;
  json
      << R"({"name":")" << config.name << R"(","listen":")" << config.listen_address
      << R"(","discovery":")" << config.discovery_address << R"(","seed":")" << config.seed
      << R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":)" << config.max_sockets
      << R"(},"known":{"revision":0,"complete":true,"members":[]},"settings":{"balancers":)"
      << config.gateways << R"(,"classes":[)" << join(config.classes, encode_class)
      << R"(],"extra":{"read_level":[)" << join(config.classes, encode_read_level)
      << R"(],"lag_allowed":[)" << join(config.classes, encode_max_lag)
      << R"(],"list_role":"static","token_mode":")" << config.token_mode
      << R"(","checks":"none","positions":true,"zero":0},)"
      << R"("limits":{"probes":true,"send_cap":)" << kMaxAttempts << R"(,"dial_timeout":)"
      << nanoseconds(config.connect_timeout_ms) << R"(,"keepalive":)"
      << nanoseconds(config.keepalive_ms)
      << R"(,"retry_after":true,"max_retry_after":2000000000},"obligations":{"cold_from":)"
      << config.initial_capacity << R"(,"cold":)" << nanoseconds(config.slow_start_ms)
      << R"(,"fall":)" << nanoseconds(config.overload_window_ms) << R"(,"fall_multiple":)"
      << config.overload_factor
      << R"(,"drain_grace":250000000},"report":{"via":"answers","fields":["x0","x1"]},"tick":1000000}})";
  return json.str();
}

}  // namespace test_harness
