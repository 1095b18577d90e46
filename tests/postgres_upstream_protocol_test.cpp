// Tests how handshakes, errors and load reports in the responses of PostgreSQL endpoints are read.
#include "postgres/codec.h"
#include "postgres/upstream_protocol.h"

#include "net/timer.h"
#include "wire/integers.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::postgres {
namespace {

using connection_pool::InputState;
using connection_pool::ParsedResponse;
using connection_pool::RequestKind;

/// Returns the load report in an endpoint's response to a health check. `gauges` is the
/// text of the report.
LoadReport parse_health_check_report(const std::string& gauges) {
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

TEST(PostgresUpstreamProtocol, ReadsReportPositionsInSecondsOrMilliseconds) {
  const auto written_at = std::chrono::floor<std::chrono::milliseconds>(net::now()) - 150ms;
  const std::string unix_ms = std::to_string(written_at.time_since_epoch().count());
  const LoadReport seconds_report =
      parse_health_check_report("x0=" + unix_ms.substr(0, 10) + "." + unix_ms.substr(10) + ",x1=1");
  ASSERT_TRUE(seconds_report.replication_position);
  EXPECT_NEAR(to_double(seconds_report.replication_position->time_since_epoch()),
              to_double(written_at.time_since_epoch()), 1e6);
  EXPECT_TRUE(seconds_report.is_primary.value_or(false));
  const LoadReport milliseconds_report = parse_health_check_report("x0=" + unix_ms + ",x1=0");
  ASSERT_TRUE(milliseconds_report.replication_position);
  EXPECT_NEAR(to_double(milliseconds_report.replication_position->time_since_epoch()),
              to_double(written_at.time_since_epoch()), 1e6);
  EXPECT_FALSE(milliseconds_report.is_primary.value_or(true));
}

TEST(PostgresUpstreamProtocol, IgnoresReportOfZeros) {
  const LoadReport zero_report = parse_health_check_report("x0=0.000,x1=0");
  EXPECT_FALSE(zero_report.replication_position);
  // If a report of zeros were read as "not the primary", each gateway that starts would conclude
  // that no group has a primary.
  EXPECT_FALSE(zero_report.is_primary);
}

TEST(PostgresUpstreamProtocol, ReadsHandshakeResponse) {
  using Status = connection_pool::HandshakeResult::Status;
  const std::string ready = encode_message('R', std::string(4, '\0')) + encode_message('Z', "I");

  struct Case {
    std::string in;
    Status status;
  };

  const std::vector<Case> cases = {
      {ready.substr(0, ready.size() - 1), Status::Incomplete},
      {ready, Status::Complete},
      {encode_error(Severity::Fatal, {kTooManyConnections, ""}), Status::Rejected},
      {encode_error(Severity::Fatal, {kInvalidAuthorization, ""}), Status::Failed},
      {encode_message('R', std::string("\0\0\0\3", 4)) + ready, Status::Failed},
      {"x", Status::Failed},
  };

  for (const auto& each : cases)
    EXPECT_EQ(make_upstream_protocol()->parse_handshake(each.in).status, each.status)
        << testing::PrintToString(each.in);
}

TEST(PostgresUpstreamProtocol, TranslatesErrorsOnceTheResponseIsComplete) {
  const std::vector<std::pair<const char*, AttemptStatus>> cases = {
      {kReadOnlyTransaction, AttemptStatus::Misdirected},
      {kSnapshotTooOld, AttemptStatus::Misdirected},
      {kTooManyConnections, AttemptStatus::Rejected},
      {kCannotConnectNow, AttemptStatus::Rejected},
      {kInternalError, AttemptStatus::Error},
  };
  for (const auto& [sqlstate, status] : cases) {
    const std::string error = encode_error(Severity::Error, {sqlstate, ""});
    const auto parse = [](const std::string& in, InputState input) {
      return make_upstream_protocol()->parse_response(in, RequestKind::ClientRequest, input);
    };
    EXPECT_EQ(parse(error, InputState::Open).status, ParsedResponse::Status::Incomplete);
    EXPECT_EQ(parse(error, InputState::Ended).response.status, status) << sqlstate;
    EXPECT_EQ(parse(error + encode_message('Z', "I"), InputState::Open).response.status, status);
  }
}

}  // namespace
}  // namespace gorsebeam::postgres
