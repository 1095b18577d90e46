// PostgreSQL's protocol, version 3: messages and statements, read in place. No sockets here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::postgres {

constexpr std::uint32_t kVersion3 = 196608;
constexpr std::uint32_t kCancelRequest = 80877102;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssRequest = 80877104;

std::uint32_t read_u32(const char* at);
std::string u32(std::uint32_t value);

enum class Framing { More, Whole, Malformed };

struct Message {
  char type = 0;
  std::string_view body;   // without type and length
  std::string_view whole;  // as received
};

// The first message of `in`, which may hold at most `most` bytes.
Framing read_message(std::string_view in, std::size_t most, Message& message);
// The first message of a connection: it has no type. `body` begins with the protocol number.
Framing read_startup(std::string_view in, std::size_t most, std::string_view& body,
                     std::size_t& used);
std::optional<std::string_view> startup_parameter(std::string_view body, std::string_view name);

std::string message(char type, std::string_view body);
std::string error(const char* severity, const char* code, const std::string& text,
                  const std::string& detail = "");
std::optional<std::string_view> error_field(std::string_view body, char field);
// ParameterStatus holds a name and a value.
bool read_status(std::string_view body, std::string_view& name, std::string_view& value);

// What the gateway reads of a statement; views lead into it.
struct Statement {
  bool select = false;   // a SELECT; everything else is taken for a write
  bool several = false;  // more than one statement
  std::string_view key;  // the first quoted literal
  std::string_view id, service_class, deadline, idempotency, group, after,
      retry;  // from the comment
};

Statement read_statement(std::string_view text);
bool is_blank(std::string_view text);  // an empty query
std::optional<std::uint64_t> whole_number(std::string_view text, std::uint64_t most);

}  // namespace gorsebeam::postgres
