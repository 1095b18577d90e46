#include "mongo/codec.h"
#include "mongo/upstream_protocol.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace gorsebeam::mongo {
namespace {

using connection_pool::HandshakeResult;
using connection_pool::InputState;
using connection_pool::ParsedResponse;
using connection_pool::RequestKind;

constexpr std::uint32_t kFirstRequestId = 1;  // the request id of a connection's first message

std::string encode_reply(const Writer& document, std::uint32_t response_to = kFirstRequestId) {
  return encode_op_msg(document.finish(), 77, response_to);
}

Writer error_document(std::int32_t code) {
  return Writer().append_double("ok", 0).append_int32("code", code);
}

TEST(MongoUpstreamProtocol, SendsHelloAsHandshakeAndHealthCheck) {
  const auto protocol = make_upstream_protocol();
  const std::string encoded = protocol->handshake_message();
  const auto handshake = read_message(encoded, encoded.size());
  ASSERT_TRUE(handshake);
  EXPECT_EQ(handshake.value().request_id, 1U);
  EXPECT_EQ(handshake.value().opcode, Opcode::Msg);
  const std::string hello =
      Writer().append_int32("hello", 1).append_string("$db", "admin").finish();
  EXPECT_EQ(protocol->health_check_message(), proxy::ByteSpans{encode_op_msg(hello, 2, 0)});
}

TEST(MongoUpstreamProtocol, ReadsHandshakeReply) {
  using Status = HandshakeResult::Status;
  const std::string ready = encode_reply(Writer().append_double("ok", 1));

  struct Case {
    std::string in;
    Status status;
  };

  const std::vector<Case> cases = {
      {ready.substr(0, ready.size() - 1), Status::Incomplete},
      {ready, Status::Complete},
      {encode_reply(error_document(462)), Status::Rejected},
      {encode_reply(error_document(18)), Status::Failed},
      {encode_reply(Writer().append_double("ok", 1), kFirstRequestId + 1), Status::Failed},
  };

  for (const auto& each : cases) {
    const auto protocol = make_upstream_protocol();
    protocol->handshake_message();
    const HandshakeResult result = protocol->parse_handshake(each.in);
    EXPECT_EQ(result.status, each.status) << testing::PrintToString(each.in);
    EXPECT_EQ(result.consumed_bytes, each.status == Status::Complete ? ready.size() : 0);
  }
}

TEST(MongoUpstreamProtocol, TranslatesErrorCodes) {
  struct Case {
    std::int32_t code;
    AttemptStatus status;
    Role role;
  };

  const std::vector<Case> cases = {
      {10107, AttemptStatus::Misdirected, Role::Replica},
      {13435, AttemptStatus::Misdirected, Role::Unknown},
      {13436, AttemptStatus::Misdirected, Role::Unknown},
      {246, AttemptStatus::Misdirected, Role::Unknown},
      {462, AttemptStatus::Rejected, Role::Unknown},
      {8, AttemptStatus::Error, Role::Unknown},
  };

  for (const auto& each : cases) {
    const auto protocol = make_upstream_protocol();
    protocol->frame_request({});
    const std::string in = encode_reply(error_document(each.code));
    const ParsedResponse parsed =
        protocol->parse_response(in, RequestKind::ClientRequest, InputState::Open);
    ASSERT_EQ(parsed.status, ParsedResponse::Status::Complete);
    EXPECT_EQ(parsed.response.status, each.status) << each.code;
    EXPECT_EQ(parsed.response.role, each.role) << each.code;
    EXPECT_EQ(parsed.response.body.empty(), each.status != AttemptStatus::Error) << each.code;
  }
}

TEST(MongoUpstreamProtocol, ReadsHealthCheckReplyAndReplicationPositions) {
  const std::string last_write = Writer().append_date("lastWriteDate", 1700000000123).finish();
  const std::string hello = encode_reply(Writer()
                                             .append_bool("isWritablePrimary", true)
                                             .append_document("lastWrite", last_write)
                                             .append_double("ok", 1));
  const auto protocol = make_upstream_protocol();
  protocol->health_check_message();
  const ParsedResponse check =
      protocol->parse_response(hello, RequestKind::HealthCheck, InputState::Open);
  EXPECT_EQ(check.response.status, AttemptStatus::Ok);
  EXPECT_EQ(check.response.load_report.is_primary, true);
  EXPECT_EQ(check.response.load_report.replication_position, ReplicationPosition(1700000000123ms));

  const std::string reply = encode_reply(
      Writer().append_double("ok", 1).append_timestamp("operationTime", 1700000000, 5));
  const ParsedResponse read =
      protocol->parse_response(reply, RequestKind::ClientRequest, InputState::Open);
  EXPECT_EQ(read.response.replication_position, ReplicationPosition(1700000000s));
  EXPECT_EQ(read.response.commit_position, ReplicationPosition(1700000001s));
  EXPECT_EQ(read.consumed_bytes, reply.size());
}

}  // namespace
}  // namespace gorsebeam::mongo
