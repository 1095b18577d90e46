#include "codec.h"

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace gorsebeam::postgres {
namespace {

std::string_view text_until_nul(std::string_view in) {
  return in.substr(0, in.find('\0'));
}

bool space(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f';
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && space(text.front()))
    text.remove_prefix(1);
  while (!text.empty() && space(text.back()))
    text.remove_suffix(1);
  return text;
}

void read_comment(std::string_view text, Statement& statement) {
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = trim(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos)
      continue;
    const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    if (name == "id")
      statement.id = value;
    if (name == "c")
      statement.service_class = value;
    if (name == "d")
      statement.deadline = value;
    if (name == "k")
      statement.idempotency = value;
    if (name == "cluster")
      statement.group = value;
    if (name == "after")
      statement.after = value;
    if (name == "r")
      statement.retry = value;
  }
}

}  // namespace

std::uint32_t read_u32(const char* at) {
  std::uint32_t value;
  std::memcpy(&value, at, 4);
  return GUINT32_FROM_BE(value);
}

std::string u32(std::uint32_t value) {
  value = GUINT32_TO_BE(value);
  return {reinterpret_cast<const char*>(&value), 4};
}

Framing read_message(std::string_view in, std::size_t most, Message& message) {
  if (in.size() < 5)
    return Framing::More;
  const std::size_t length = read_u32(in.data() + 1);
  if (length < 4 || length > most)
    return Framing::Malformed;
  if (in.size() < 1 + length)
    return Framing::More;
  message.type = in[0];
  message.whole = in.substr(0, 1 + length);
  message.body = message.whole.substr(5);
  return Framing::Whole;
}

Framing read_startup(std::string_view in, std::size_t most, std::string_view& body,
                     std::size_t& used) {
  if (in.size() < 8)
    return Framing::More;
  const std::size_t length = read_u32(in.data());
  if (length < 8 || length > most)
    return Framing::Malformed;
  if (in.size() < length)
    return Framing::More;
  body = in.substr(4, length - 4);
  used = length;
  return Framing::Whole;
}

std::optional<std::string_view> startup_parameter(std::string_view body, std::string_view name) {
  body.remove_prefix(4);
  while (!body.empty() && body.front() != '\0') {
    const std::string_view key = text_until_nul(body);
    body.remove_prefix(std::min(body.size(), key.size() + 1));
    const std::string_view value = text_until_nul(body);
    body.remove_prefix(std::min(body.size(), value.size() + 1));
    if (key == name)
      return value;
  }
  return std::nullopt;
}

std::string message(char type, std::string_view body) {
  std::string out(1, type);
  out += u32(static_cast<std::uint32_t>(body.size() + 4));
  out.append(body);
  return out;
}

std::string error(const char* severity, const char* code, const std::string& text,
                  const std::string& detail) {
  std::string body;
  const auto field = [&body](char type, const std::string& value) {
    body += type;
    body += value;
    body += '\0';
  };
  field('S', severity);
  field('V', severity);
  field('C', code);
  field('M', text);
  if (!detail.empty())
    field('D', detail);
  body += '\0';
  return message('E', body);
}

std::optional<std::string_view> error_field(std::string_view body, char field) {
  while (!body.empty() && body.front() != '\0') {
    const char type = body.front();
    body.remove_prefix(1);
    const std::string_view value = text_until_nul(body);
    if (type == field)
      return value;
    body.remove_prefix(std::min(body.size(), value.size() + 1));
  }
  return std::nullopt;
}

bool read_status(std::string_view body, std::string_view& name, std::string_view& value) {
  name = text_until_nul(body);
  if (name.size() == body.size())
    return false;
  body.remove_prefix(name.size() + 1);
  value = text_until_nul(body);
  return value.size() < body.size();
}

Statement read_statement(std::string_view text) {
  Statement statement;
  bool ended = false;
  std::string_view word;
  for (std::size_t i = 0; i < text.size();) {
    const char c = text[i];
    if (text.compare(i, 2, "/*") == 0) {
      const std::size_t end = text.find("*/", i + 2);
      if (end == std::string_view::npos)
        break;
      read_comment(text.substr(i + 2, end - i - 2), statement);
      i = end + 2;
      continue;
    }
    if (!space(c) && c != ';' && ended)
      statement.several = true;
    if (c == '\'') {
      std::size_t end = i + 1;  // a quote within is doubled
      while ((end = text.find('\'', end)) != std::string_view::npos &&
             text.compare(end, 2, "''") == 0)
        end += 2;
      if (end == std::string_view::npos)
        break;
      if (statement.key.data() == nullptr)
        statement.key = text.substr(i + 1, end - i - 1);
      i = end + 1;
      continue;
    }
    if (c == ';')
      ended = true;
    if (word.empty() && g_ascii_isalpha(c)) {
      std::size_t end = i;
      while (end < text.size() && g_ascii_isalpha(text[end]))
        ++end;
      word = text.substr(i, end - i);
      i = end;
      continue;
    }
    ++i;
  }
  statement.select = word.size() == 6 && g_ascii_strncasecmp(word.data(), "select", 6) == 0;
  return statement;
}

bool is_blank(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return space(c) || c == ';';
  });
}

std::optional<std::uint64_t> whole_number(std::string_view text, std::uint64_t most) {
  std::uint64_t value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || fault != std::errc() || end != text.data() + text.size() || value > most)
    return std::nullopt;
  return value;
}

}  // namespace gorsebeam::postgres
