#include "platform_config.h"

#include "net/stream.h"

#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace gorsebeam::config {
namespace {

using settings::FileError;
using settings::FormatError;
using settings::JsonObjectReader;

/// The router counts a response as known to the client this long after it was written, as a
/// response on a socket may be lost on the way.
constexpr Duration kAssumedResponseDelay = 100ms;

std::uint64_t parse_seed(const std::string& text) {
  constexpr int kHexadecimal = 16;
  const char* const text_end = text.data() + text.size();
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text_end, seed, kHexadecimal);
  if (error != std::errc() || end != text_end)
    throw FormatError("the field 'seed' must be a hexadecimal number of at most 64 bits, but is '" +
                      text + "'");
  return seed;
}

std::size_t line_at(std::string_view text, std::size_t position) {
  const std::string_view before = text.substr(0, position);
  return static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1;
}

/// Finds a line for an error: the first line with the field that `message` quotes first, or 1 if
/// the text does not contain it. The JSON parser does not record the lines of fields.
std::size_t find_line_of_quoted_field(const std::string& text, const std::string& message) {
  const std::size_t open = message.find('\'');
  const std::size_t close = message.find('\'', open + 1);
  if (open == std::string::npos || close == std::string::npos)
    return 1;
  const std::string key = '"' + message.substr(open + 1, close - open - 1) + '"';
  const std::size_t position = text.find(key);
  return position == std::string::npos ? 1 : line_at(text, position);
}

void read_addresses(const JsonObjectReader& body, PlatformConfig& config) {
  config.name = body.read_string("name");
  config.listen_address = body.read_string("listen");
  config.discovery_address = body.read_string("discovery");
  for (const char* field : {"listen", "discovery"})
    if (!net::parse_address(body.read_string(field), 0))
      body.throw_invalid(field,
                         "a numeric address and a port, but is '" + body.read_string(field) + "'");
}

void read_limits(const JsonObjectReader& body, PlatformConfig& config) {
  constexpr std::int64_t kMinMemoryMib = 16;
  constexpr std::int64_t kMaxMemoryMib = 1 << 20;
  constexpr std::int64_t kMaxSockets = 1 << 20;
  if (!body.find("limits"))
    return;
  const JsonObjectReader limits = body.require_object("limits");
  config.memory_mib = static_cast<std::size_t>(
      limits.read_integer_in_range("memory_mb", kMinMemoryMib, kMaxMemoryMib, 192));
  config.max_sockets = static_cast<std::size_t>(
      limits.read_integer_in_range("sockets", kMinSockets, kMaxSockets, 1024));
}

/// Throws FormatError if the router rejects its settings, so that they are rejected before the
/// gateway listens.
void validate_with_router(const PlatformConfig& config) {
  try {
    const Router router(config.profile.settings, config.seed);
  } catch (const std::invalid_argument& error) {
    throw FormatError(error.what());
  }
}

std::string print_restart_only_settings(const JsonObjectReader& body) {
  std::string printed;
  for (const char* field : {"listen", "limits", "settings"}) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    if (const settings::Json* value = body.find(field))
      value->Accept(writer);
    printed.append(buffer.GetString(), buffer.GetSize());
    printed += '\n';
  }
  return printed;
}

/// Throws FormatError for the first invalid field.
PlatformConfig read_document(const settings::Json& document) {
  const JsonObjectReader body(document, "the configuration");
  PlatformConfig config;
  read_addresses(body, config);
  config.seed = parse_seed(body.read_string("seed"));
  read_limits(body, config);
  if (body.find("known"))
    config.initial_endpoints = discovery::parse_endpoint_list(body.require("known"), "known");
  config.profile = settings::read_deployment_profile(body.require_object("settings"));
  config.profile.settings.assumed_response_delay = kAssumedResponseDelay;
  validate_with_router(config);
  config.restart_only_settings = print_restart_only_settings(body);
  return config;
}

}  // namespace

common::Result<PlatformConfig, FileError> read_platform_config(const std::string& path) {
  const auto content = settings::read_text_file(path, "cannot be read");
  if (!content)
    return content.error();
  const std::string& text = content.value();
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  if (document.HasParseError()) {
    const std::string reason = rapidjson::GetParseError_En(document.GetParseError());
    return FileError{path, line_at(text, document.GetErrorOffset()), std::nullopt,
                     "not JSON: " + reason};
  }
  try {
    return read_document(document);
  } catch (const FormatError& error) {
    const std::string message = error.what();
    return FileError{path, find_line_of_quoted_field(text, message), std::nullopt, message};
  }
}

}  // namespace gorsebeam::config
