// How the gateway's PostgreSQL parser reads the stub endpoints' responses, in process.
#include "protocol.h"

#include "postgres/upstream_protocol.h"

#include <gtest/gtest.h>

using namespace test_harness;
using gorsebeam::connection_pool::ParseStep;

namespace {

ParseStep parse(const std::string& bytes, gorsebeam::proxy::UpstreamResponse& response) {
  std::size_t used = 0;
  return gorsebeam::postgres::make_upstream_protocol()->parse_response(bytes, false, false,
                                                                       response, used);
}

// The parser rejects bytes that cannot become a response as soon as they arrive, before any
// timeout. It ignores a load report that it cannot parse.
TEST(PostgresResponseParsing, RejectsMalformedBytesEarlyAndIgnoresMalformedReport) {
  const ReplicationStatus primary{true};
  const std::string good = postgres().encode_response(ScriptedResponse::Succeed, primary, "value");
  gorsebeam::proxy::UpstreamResponse response;
  ASSERT_EQ(parse(good, response), ParseStep::Done);
  ASSERT_TRUE(response.replication_position);
  ASSERT_EQ(parse(good.substr(0, 45), response), ParseStep::More);
  ASSERT_EQ(parse(std::string("x\0\0\1\0noise", 10), response), ParseStep::Broken);
  std::string long_row = good.substr(0, 45);  // the row is longer than its column
  const std::size_t row = long_row.find(std::string("D\0", 2));
  ASSERT_NE(row, std::string::npos);
  long_row[row + 3] = '\7';
  ASSERT_EQ(parse(long_row, response), ParseStep::Broken);
  const std::string bad_report =
      postgres().encode_response(ScriptedResponse::MalformedReport, primary, "value");
  ASSERT_EQ(parse(bad_report, response), ParseStep::Done);
  ASSERT_FALSE(response.load_report.replication_position);
  ASSERT_FALSE(response.load_report.is_primary);
  ASSERT_FALSE(response.replication_position);
}

}  // namespace
