#include "platform_config.h"

#include "net/stream.h"

#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

namespace gorsebeam::config {
namespace {

using settings::FormatError;
using settings::Reader;

constexpr Nanos kAnswersKnown =
    100'000'000;  // of the protocol on sockets, where answers may be lost on the way

std::uint64_t seed_of(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (fault != std::errc() || end != text.data() + text.size())
    throw FormatError("the field 'seed' is not a number in hex");
  return seed;
}

// JSON keeps no lines, so the field that a message names, in quotes, is looked for in the text:
// where it first stands as a key; line 1 where it is missing.
std::size_t line_of_field(const std::string& text, const std::string& message) {
  const std::size_t open = message.find('\''), close = message.find('\'', open + 1);
  if (open == std::string::npos || close == std::string::npos)
    return 1;
  const std::size_t at = text.find('"' + message.substr(open + 1, close - open - 1) + '"');
  if (at == std::string::npos)
    return 1;
  return static_cast<std::size_t>(
             std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n')) +
         1;
}

Config read(const settings::Json& document) {
  const Reader body(document, "the configuration");
  Config config;
  config.name = body.text("name");
  config.listen = body.text("listen");
  config.discovery = body.text("discovery");
  for (const char* field : {"listen", "discovery"})
    if (!net::parse_address(body.text(field), 0))
      body.wrong(field, "an address and a port");
  config.seed = seed_of(body.text("seed"));
  if (body.find("limits")) {
    const Reader limits = body.object("limits");
    config.memory_mb = static_cast<std::size_t>(limits.within("memory_mb", 16, 1 << 20, 192));
    config.sockets =
        static_cast<std::size_t>(limits.within("sockets", kSocketsLeast, 1 << 20, 1024));
  }
  if (body.find("known"))
    config.known = discovery::read_list(body.need("known"), "known");
  config.profile = settings::read_profile(body.object("settings"));
  config.profile.settings.responses_known_after = kAnswersKnown;
  try {
    Router(config.profile.settings,
           config.seed);  // the module's own checks, before anything listens
  } catch (const std::invalid_argument& error) {
    throw FormatError(error.what());
  }
  for (const char* field : {"listen", "limits", "settings"}) {
    const settings::Json* value = body.find(field);
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> writer(text);
    if (value)
      value->Accept(writer);
    config.fixed.append(text.GetString(), text.GetSize()) += '\n';
  }
  return config;
}

}  // namespace

Config read_config(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw FormatError(path + ": cannot be read");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  if (document.HasParseError()) {
    const auto at = static_cast<std::ptrdiff_t>(std::min(document.GetErrorOffset(), text.size()));
    throw FormatError(path + ": line " +
                      std::to_string(std::count(text.begin(), text.begin() + at, '\n') + 1) +
                      ": not JSON: " + rapidjson::GetParseError_En(document.GetParseError()));
  }
  try {
    return read(document);
  } catch (const FormatError& error) {
    throw FormatError(path + ": line " + std::to_string(line_of_field(text, error.what())) + ": " +
                      error.what());
  }
}

}  // namespace gorsebeam::config
