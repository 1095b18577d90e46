// The gateway's PostgreSQL parser, called in the test's process with responses of stub endpoints.
#include "protocol.h"

#include "postgres/upstream_protocol.h"

#include <gtest/gtest.h>

using namespace test_harness;
using gorsebeam::connection_pool::InputState;
using gorsebeam::connection_pool::ParsedResponse;
using gorsebeam::connection_pool::RequestKind;
using Status = ParsedResponse::Status;

namespace {

ParsedResponse parse(const std::string& bytes) {
  return gorsebeam::postgres::make_upstream_protocol()->parse_response(
      bytes, RequestKind::ClientRequest, InputState::Open);
}

// The parser rejects bytes that cannot become a response as soon as they arrive, before any
// timeout. It ignores a load report that it cannot parse.
TEST(PostgresResponseParsing, RejectsMalformedBytesEarlyAndIgnoresMalformedReport) {
  const ReplicationStatus primary{true};
  const std::string good = postgres().encode_response(ScriptedResponse::Succeed, primary, "value");
  const ParsedResponse parsed = parse(good);
  ASSERT_EQ(parsed.status, Status::Complete);
  ASSERT_TRUE(parsed.response.replication_position);
  ASSERT_EQ(parse(good.substr(0, 45)).status, Status::Incomplete);
  ASSERT_EQ(parse(std::string("x\0\0\1\0noise", 10)).status, Status::Malformed);
  std::string long_row = good.substr(0, 45);  // the row is longer than its column
  const std::size_t row = long_row.find(std::string("D\0", 2));
  ASSERT_NE(row, std::string::npos);
  long_row[row + 3] = '\7';
  ASSERT_EQ(parse(long_row).status, Status::Malformed);
  const std::string bad_report =
      postgres().encode_response(ScriptedResponse::MalformedReport, primary, "value");
  const ParsedResponse ignored = parse(bad_report);
  ASSERT_EQ(ignored.status, Status::Complete);
  ASSERT_FALSE(ignored.response.load_report.replication_position);
  ASSERT_FALSE(ignored.response.load_report.is_primary);
  ASSERT_FALSE(ignored.response.replication_position);
}

}  // namespace
