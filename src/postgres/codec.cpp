#include "codec.h"

#include "wire/integers.h"

#include <algorithm>

namespace gorsebeam::postgres {
namespace {

using wire::FramingError;

constexpr std::size_t kTypeSize = 1;
constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kStartupHeaderSize = 8;  // length field and code

/// Returns the bytes of `in` before its first zero byte, or all of `in` if it has none.
std::string_view cstring_at_front(std::string_view in) {
  return in.substr(0, in.find('\0'));
}

/// Removes a text and the zero byte after it from the front of `rest`, and returns the text.
/// Without a zero byte, the text is all of `rest`.
std::string_view read_cstring(std::string_view& rest) {
  const std::string_view text = cstring_at_front(rest);
  rest.remove_prefix(std::min(rest.size(), text.size() + 1));
  return text;
}

const char* name_of(Severity severity) {
  return severity == Severity::Fatal ? "FATAL" : "ERROR";
}

void append_field(std::string& body, char type, const std::string& value) {
  body += type;
  body += value;
  body += '\0';
}

}  // namespace

wire::FramingResult<Message> read_message(std::string_view in, std::size_t max_length) {
  if (in.size() < kTypeSize + kLengthSize)
    return FramingError::Incomplete;
  const std::size_t length = wire::read_u32_big_endian(in.data() + kTypeSize);
  if (length < kLengthSize || length > max_length)
    return FramingError::Malformed;
  if (in.size() < kTypeSize + length)
    return FramingError::Incomplete;
  Message message;
  message.type = in[0];
  message.encoded = in.substr(0, kTypeSize + length);
  message.body = message.encoded.substr(kTypeSize + kLengthSize);
  return message;
}

wire::FramingResult<StartupMessage> read_startup(std::string_view in, std::size_t max_length) {
  if (in.size() < kStartupHeaderSize)
    return FramingError::Incomplete;
  const std::size_t length = wire::read_u32_big_endian(in.data());
  if (length < kStartupHeaderSize || length > max_length)
    return FramingError::Malformed;
  if (in.size() < length)
    return FramingError::Incomplete;
  StartupMessage startup;
  startup.code = wire::read_u32_big_endian(in.data() + kLengthSize);
  startup.parameters = in.substr(kStartupHeaderSize, length - kStartupHeaderSize);
  startup.size = length;
  return startup;
}

std::optional<std::string_view> startup_parameter(std::string_view parameters,
                                                  std::string_view name) {
  while (!parameters.empty() && parameters.front() != '\0') {
    const std::string_view key = read_cstring(parameters);
    const std::string_view value = read_cstring(parameters);
    if (key == name)
      return value;
  }
  return std::nullopt;
}

std::string encode_message(char type, std::string_view body) {
  std::string out(1, type);
  out += wire::encode_u32_big_endian(static_cast<std::uint32_t>(body.size() + kLengthSize));
  out.append(body);
  return out;
}

std::string encode_error(Severity severity, const SqlError& error, const std::string& detail) {
  std::string body;
  append_field(body, 'S', name_of(severity));
  append_field(body, 'V', name_of(severity));
  append_field(body, 'C', error.sqlstate);
  append_field(body, 'M', error.text);
  if (!detail.empty())
    append_field(body, 'D', detail);
  body += '\0';
  return encode_message('E', body);
}

std::optional<std::string_view> error_field(std::string_view body, char field) {
  while (!body.empty() && body.front() != '\0') {
    const char type = body.front();
    body.remove_prefix(1);
    const std::string_view value = read_cstring(body);
    if (type == field)
      return value;
  }
  return std::nullopt;
}

std::optional<ParameterStatus> read_parameter_status(std::string_view body) {
  const std::string_view name = cstring_at_front(body);
  if (name.size() == body.size())
    return std::nullopt;
  body.remove_prefix(name.size() + 1);
  const std::string_view value = cstring_at_front(body);
  if (value.size() == body.size())
    return std::nullopt;
  return ParameterStatus{name, value};
}

}  // namespace gorsebeam::postgres
