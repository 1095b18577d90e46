// Tests the startup message of PostgreSQL clients, the exact bytes of its reply and of errors, and
// the messages that follow.
#include "postgres/client_message.h"
#include "postgres/startup.h"

#include "wire/integers.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::postgres {
namespace {

using namespace std::string_literals;

std::string startup_message(std::uint32_t code, const std::string& parameters) {
  const auto length = static_cast<std::uint32_t>(parameters.size() + 8);
  return wire::encode_u32_big_endian(length) + wire::encode_u32_big_endian(code) + parameters;
}

TEST(PostgresStartup, ClassifiesStartupMessages) {
  struct Case {
    std::string message;
    StartupKind kind;
    std::string user;
  };

  const std::vector<Case> cases = {
      {startup_message(196608, "database\0crm\0user\0portal\0\0"s), StartupKind::Session, "portal"},
      {startup_message(196610, "user\0portal\0\0"s), StartupKind::Session, "portal"},
      {startup_message(196608, "user\0\0\0"s), StartupKind::Session, ""},
      {startup_message(196608, "user"s), StartupKind::Session, ""},
      {startup_message(196608, ""), StartupKind::Session, ""},
      {startup_message(131072, "user\0portal\0\0"s), StartupKind::UnsupportedVersion, ""},
      {startup_message(80877102, "\0\0\0\1\0\0\0\2"s), StartupKind::Cancel, ""},
      {startup_message(80877103, ""), StartupKind::Encryption, ""},
      {startup_message(80877104, ""), StartupKind::Encryption, ""},
  };

  for (const auto& each : cases) {
    const auto message = read_startup(each.message, 100);
    ASSERT_TRUE(message);
    EXPECT_EQ(message.value().size, each.message.size());
    const Startup startup = parse_startup(message.value());
    EXPECT_EQ(startup.kind, each.kind) << testing::PrintToString(each.message);
    EXPECT_EQ(startup.user, each.user) << testing::PrintToString(each.message);
  }
}

TEST(PostgresStartup, FramesStartupMessages) {
  const std::string message = startup_message(196608, "\0"s);
  EXPECT_EQ(read_startup(message.substr(0, 8), 9).error(), wire::FramingError::Incomplete);
  EXPECT_TRUE(read_startup(message, 9));
  EXPECT_EQ(read_startup(message, 8).error(), wire::FramingError::Malformed);
  EXPECT_EQ(read_startup("\0\0\0\7\0\3\0\0"s, 9).error(), wire::FramingError::Malformed);
}

TEST(PostgresStartup, EncodesExactReply) {
  EXPECT_EQ(encode_startup_reply(), "R\0\0\0\x08\0\0\0\0"
                                    "S\0\0\0\x18server_version\0"
                                    "15.0\0"
                                    "S\0\0\0\x19server_encoding\0UTF8\0"
                                    "S\0\0\0\x19"
                                    "client_encoding\0UTF8\0"
                                    "S\0\0\0\x17"
                                    "DateStyle\0ISO, MDY\0"
                                    "S\0\0\0\x19integer_datetimes\0on\0"
                                    "S\0\0\0#standard_conforming_strings\0on\0"
                                    "K\0\0\0\x0c\0\0\0\1\0\0\0\0"s);
}

TEST(PostgresErrors, EncodeExactBytes) {
  EXPECT_EQ(encode_error(Severity::Error, {kTooManyConnections, "refused: try again"}, "250"),
            "E\0\0\0\x33SERROR\0VERROR\0C53300\0Mrefused: try again\0D250\0\0"s);
  EXPECT_EQ(encode_error(Severity::Fatal, {kProtocolViolation, "x"}),
            "E\0\0\0\x1dSFATAL\0VFATAL\0C08P01\0Mx\0\0"s);
}

TEST(PostgresClientMessage, ClassifiesMessagesByType) {
  const std::vector<std::pair<const char*, MessageKind>> cases = {
      {"Q", MessageKind::Query},        {"X", MessageKind::Terminate},
      {"S", MessageKind::Sync},         {"PBDECH", MessageKind::ExtendedQuery},
      {"F", MessageKind::FunctionCall}, {"yq", MessageKind::Unknown},
  };
  for (const auto& [types, kind] : cases) {
    for (const char type : std::string(types)) {
      Message message;
      message.type = type;
      EXPECT_EQ(kind_of(message), kind) << type;
    }
  }
}

TEST(PostgresClientMessage, ReadsTextOfQuery) {
  const std::string query = encode_message('Q', "SELECT 1\0"s);
  EXPECT_EQ(read_query(read_message(query, query.size()).value()).value(), "SELECT 1");
  for (const std::string& body : {""s, "SELECT 1"s, "SELECT\0001\0"s}) {
    const std::string malformed = encode_message('Q', body);
    const auto text = read_query(read_message(malformed, malformed.size()).value());
    ASSERT_FALSE(text) << testing::PrintToString(body);
    EXPECT_STREQ(text.error().sqlstate, kProtocolViolation);
  }
}

}  // namespace
}  // namespace gorsebeam::postgres
