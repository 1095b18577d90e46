// Tests how messages of MongoDB clients are parsed into commands, and commands into requests.
#include "mongo/command_parser.h"

#include "frontend/session_hash.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::mongo {
namespace {

class MongoCommandParser : public testing::Test {
protected:
  static std::vector<RequestClass> make_classes() {
    std::vector<RequestClass> classes(3);
    for (RequestClass& each : classes)
      each.deadline = 2000ms;
    classes[0].consistency = ConsistencyLevel::Eventual;
    classes[1].consistency = ConsistencyLevel::Session;
    classes[2].consistency = ConsistencyLevel::Write;
    classes[2].idempotency = Idempotency::IdempotencyKey;
    return classes;
  }

  static Writer comment(const std::string& service_class) {
    return Writer()
        .append_string("id", "r1")
        .append_string("c", service_class)
        .append_string("cluster", "7");
  }

  /// Returns the command `name` with a comment.
  static Writer command(const std::string& name, const Writer& comment) {
    return Writer().append_string(name, "facts").append_document("comment", comment.finish());
  }

  [[nodiscard]] common::Result<frontend::ParsedRequest, CommandError>
  parse(const Writer& command) const {
    message_ = encode_op_msg(command.finish(), 1, 0);
    const auto parsed = parse_command(read_message(message_, message_.size()).value());
    return parse_request(parsed.value(), {class_indexes_, classes_});
  }

  const std::vector<RequestClass> classes_ = make_classes();
  const std::map<std::string, std::size_t> class_indexes_{{"any", 0}, {"session", 1}, {"save", 2}};
  const Writer lsid_ =
      Writer().append_document("lsid", Writer().append_string("id", "s1").finish());
  mutable std::string message_;
};

TEST_F(MongoCommandParser, ClassifiesCommandsByName) {
  const std::vector<std::pair<const char*, CommandKind>> cases = {
      {"hello", CommandKind::Hello},
      {"isMaster", CommandKind::Hello},
      {"buildinfo", CommandKind::BuildInfo},
      {"ping", CommandKind::Acknowledged},
      {"find", CommandKind::Read},
      {"distinct", CommandKind::Read},
      {"insert", CommandKind::Write},
      {"findAndModify", CommandKind::Write},
      {"aggregate", CommandKind::Unsupported},
      {"FIND", CommandKind::Unknown},
  };
  for (const auto& [name, kind] : cases) {
    const std::string message = encode_op_msg(Writer().append_int32(name, 1).finish(), 1, 0);
    const auto command = parse_command(read_message(message, message.size()).value());
    ASSERT_TRUE(command) << name;
    EXPECT_EQ(command.value().kind, kind) << name;
    EXPECT_EQ(command.value().name, name);
  }
}

TEST_F(MongoCommandParser, ReportsMessagesThatEndTheConnection) {
  const std::string ping = Writer().append_int32("ping", 1).finish();
  const std::string body = std::string(1, '\0') + ping;

  struct Case {
    Opcode opcode;
    std::string payload;
    ProtocolError error;
  };

  const std::vector<Case> cases = {
      {static_cast<Opcode>(2002), encode_u32(0) + body, ProtocolError::UnsupportedOpcode},
      {Opcode::Msg, encode_u32(0), ProtocolError::MalformedMessage},
      {Opcode::Msg, encode_u32(4) + body, ProtocolError::MalformedMessage},  // an unknown flag
      {Opcode::Msg, encode_u32(0) + body + body, ProtocolError::MalformedMessage},
      {Opcode::Msg, encode_u32(kMoreToCome) + body, ProtocolError::ReplyForbidden},
      {Opcode::Query, encode_u32(0) + "no end", ProtocolError::MalformedQuery},
  };

  for (const auto& each : cases) {
    Message message;
    message.opcode = each.opcode;
    message.payload = each.payload;
    const auto command = parse_command(message);
    ASSERT_FALSE(command) << testing::PrintToString(each.payload);
    EXPECT_EQ(command.error(), each.error) << describe(command.error());
  }
}

TEST_F(MongoCommandParser, ReadsRequestFields) {
  Writer read = command("find", comment("session"));
  read.append_int32("maxTimeMS", 1500).append_document("lsid", find(lsid_.finish(), "lsid")->value);
  const auto parsed = parse(read);
  ASSERT_TRUE(parsed);
  const Request& request = parsed.value().request;
  EXPECT_EQ(request.id, "r1");
  EXPECT_EQ(request.class_index, 1U);
  EXPECT_EQ(request.group, 7U);
  EXPECT_EQ(request.session, frontend::hash_session_name("s1"));
  EXPECT_EQ(parsed.value().time_limit, 1500ms);
  EXPECT_FALSE(parsed.value().is_single_attempt);

  // The time limit is that of the class if the client sets none. Requests of the class "any" belong
  // to no session.
  for (const Writer& unlimited : {command("find", comment("any")),
                                  command("find", comment("any")).append_int32("maxTimeMS", 0)}) {
    const auto result = parse(unlimited);
    ASSERT_TRUE(result);
    EXPECT_EQ(result.value().time_limit, 2000ms);
    EXPECT_FALSE(result.value().request.session);
  }
}

TEST_F(MongoCommandParser, AcceptsEitherIdempotencyKeyAndTextComments) {
  EXPECT_TRUE(parse(command("insert", comment("save").append_string("k", "key"))));
  Writer retryable = command("insert", comment("save"));
  retryable.append_document("lsid", find(lsid_.finish(), "lsid")->value)
      .append_int64("txnNumber", 5);
  EXPECT_TRUE(parse(retryable));
  const auto text = parse(
      Writer().append_string("find", "facts").append_string("comment", "id=t,c=any,cluster=0"));
  ASSERT_TRUE(text);
  EXPECT_EQ(text.value().request.id, "t");
}

TEST_F(MongoCommandParser, RejectsUnsupportedAndInvalidCommands) {
  const Writer any = comment("any");

  struct Case {
    Writer command;
    ErrorCode code;
    std::string text;
  };

  const std::vector<Case> cases = {
      {command("aggregate", any), ErrorCode::CommandNotSupported, "aggregate is not served"},
      {command("frob", any), ErrorCode::CommandNotFound, "no such command: 'frob'"},
      {command("find", any).append_bool("startTransaction", true), ErrorCode::CommandNotSupported,
       "transactions are not served"},
      {command("find", Writer()), ErrorCode::FailedToParse, "the command's comment holds no id"},
      {command("find", comment("unheard-of")), ErrorCode::FailedToParse,
       "the command's comment names no known class"},
      {command("find", Writer().append_string("id", "a").append_string("c", "any")),
       ErrorCode::FailedToParse, "the command's comment names no cluster"},
      {command("insert", any), ErrorCode::FailedToParse, "the command does not fit its class"},
      {command("find", comment("save")), ErrorCode::FailedToParse,
       "the command does not fit its class"},
      {command("insert", comment("save")), ErrorCode::FailedToParse,
       "the class needs a key: k in the comment, or lsid and txnNumber"},
      {command("find", comment("session")), ErrorCode::FailedToParse,
       "the class needs a session: lsid"},
      {command("find", any).append_int32("maxTimeMS", -1), ErrorCode::FailedToParse,
       "maxTimeMS is out of range"},
      {command("find", any).append_int64("maxTimeMS", 3'600'001), ErrorCode::FailedToParse,
       "maxTimeMS is out of range"},
      {command("find", any).append_double("maxTimeMS", 20.5), ErrorCode::FailedToParse,
       "maxTimeMS is out of range"},
  };

  for (const auto& each : cases) {
    const auto parsed = parse(each.command);
    ASSERT_FALSE(parsed) << each.text;
    EXPECT_EQ(parsed.error().code, each.code) << each.text;
    EXPECT_EQ(parsed.error().text, each.text);
  }
}

}  // namespace
}  // namespace gorsebeam::mongo
