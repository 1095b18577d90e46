// Load reports in the answers of PostgreSQL endpoints to health checks.
#include "postgres/codec.h"
#include "postgres/upstream_protocol.h"

#include "net/timer.h"
#include "wire/integers.h"

#include <gtest/gtest.h>

namespace gorsebeam::postgres {
namespace {

using connection_pool::InputState;
using connection_pool::ParsedResponse;
using connection_pool::RequestKind;

LoadReport report_of(const std::string& gauges) {
  const std::string column = std::string("\0\1gauges\0", 9) + std::string(18, '\0');
  const std::string row = std::string("\0\1", 2) +
                          wire::encode_u32_big_endian(static_cast<std::uint32_t>(gauges.size())) +
                          gauges;
  const std::string in = encode_message('T', column) + encode_message('D', row) +
                         encode_message('C', std::string("SELECT 1\0", 9)) +
                         encode_message('Z', "I");
  const ParsedResponse parsed =
      make_upstream_protocol()->parse_response(in, RequestKind::HealthCheck, InputState::Open);
  EXPECT_EQ(parsed.status, ParsedResponse::Status::Complete);
  EXPECT_EQ(parsed.response.status, AttemptStatus::Ok);
  return parsed.response.load_report;
}

TEST(PostgresUpstream, ReadsReportPositionsInSecondsOrMilliseconds) {
  const auto at = std::chrono::floor<std::chrono::milliseconds>(net::now()) - 150ms;
  const std::string ms = std::to_string(at.time_since_epoch().count());
  const LoadReport seconds = report_of("x0=" + ms.substr(0, 10) + "." + ms.substr(10) + ",x1=1");
  ASSERT_TRUE(seconds.replication_position);
  EXPECT_NEAR(to_double(seconds.replication_position->time_since_epoch()),
              to_double(at.time_since_epoch()), 1e6);
  EXPECT_TRUE(seconds.is_primary.value_or(false));
  const LoadReport milliseconds = report_of("x0=" + ms + ",x1=0");
  ASSERT_TRUE(milliseconds.replication_position);
  EXPECT_NEAR(to_double(milliseconds.replication_position->time_since_epoch()),
              to_double(at.time_since_epoch()), 1e6);
  EXPECT_FALSE(milliseconds.is_primary.value_or(true));
}

TEST(PostgresUpstream, IgnoresReportNotMadeYet) {
  const LoadReport blank = report_of("x0=0.000,x1=0");
  EXPECT_FALSE(blank.replication_position);
  // Otherwise each gateway that starts would take each primary as replaced.
  EXPECT_FALSE(blank.is_primary);
}

}  // namespace
}  // namespace gorsebeam::postgres
