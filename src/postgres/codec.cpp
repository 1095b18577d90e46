#include "codec.h"

#include "wire/integers.h"

#include <algorithm>

namespace gorsebeam::postgres {
namespace {

constexpr std::size_t kTypeSize = 1;
constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kMinStartupLength = 8;  // the length and the protocol number

std::string_view text_until_nul(std::string_view in) {
  return in.substr(0, in.find('\0'));
}

/// Removes a text and its zero byte from the front of `rest` and returns the text.
std::string_view remove_text(std::string_view& rest) {
  const std::string_view text = text_until_nul(rest);
  rest.remove_prefix(std::min(rest.size(), text.size() + 1));
  return text;
}

void append_field(std::string& body, char type, const std::string& value) {
  body += type;
  body += value;
  body += '\0';
}

}  // namespace

wire::Framing read_message(std::string_view in, std::size_t max_length, Message& message) {
  if (in.size() < kTypeSize + kLengthSize)
    return wire::Framing::Incomplete;
  const std::size_t length = wire::read_u32_big_endian(in.data() + kTypeSize);
  if (length < kLengthSize || length > max_length)
    return wire::Framing::Malformed;
  if (in.size() < kTypeSize + length)
    return wire::Framing::Incomplete;
  message.type = in[0];
  message.complete = in.substr(0, kTypeSize + length);
  message.body = message.complete.substr(kTypeSize + kLengthSize);
  return wire::Framing::Complete;
}

wire::Framing read_startup(std::string_view in, std::size_t max_length, StartupMessage& startup) {
  if (in.size() < kMinStartupLength)
    return wire::Framing::Incomplete;
  const std::size_t length = wire::read_u32_big_endian(in.data());
  if (length < kMinStartupLength || length > max_length)
    return wire::Framing::Malformed;
  if (in.size() < length)
    return wire::Framing::Incomplete;
  startup.body = in.substr(kLengthSize, length - kLengthSize);
  startup.size = length;
  return wire::Framing::Complete;
}

std::optional<std::string_view> startup_parameter(std::string_view body, std::string_view name) {
  body.remove_prefix(4);  // the protocol number
  while (!body.empty() && body.front() != '\0') {
    const std::string_view key = remove_text(body);
    const std::string_view value = remove_text(body);
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

std::string encode_error(const char* severity, const char* code, const std::string& text,
                         const std::string& detail) {
  std::string body;
  append_field(body, 'S', severity);
  append_field(body, 'V', severity);
  append_field(body, 'C', code);
  append_field(body, 'M', text);
  if (!detail.empty())
    append_field(body, 'D', detail);
  body += '\0';
  return encode_message('E', body);
}

std::optional<std::string_view> error_field(std::string_view body, char field) {
  while (!body.empty() && body.front() != '\0') {
    const char type = body.front();
    body.remove_prefix(1);
    const std::string_view value = remove_text(body);
    if (type == field)
      return value;
  }
  return std::nullopt;
}

std::optional<ParameterStatus> read_parameter_status(std::string_view body) {
  const std::string_view name = text_until_nul(body);
  if (name.size() == body.size())
    return std::nullopt;
  body.remove_prefix(name.size() + 1);
  const std::string_view value = text_until_nul(body);
  if (value.size() == body.size())
    return std::nullopt;
  return ParameterStatus{name, value};
}

}  // namespace gorsebeam::postgres
