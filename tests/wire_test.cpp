// What PostgreSQL members' answers to probes tell.
#include "postgres/codec.h"
#include "postgres/wire.h"

#include "net/timer.h"

#include <gtest/gtest.h>

namespace gorsebeam::postgres {
namespace {

Report report_of(const std::string& gauges) {
  const std::string column = std::string("\0\1gauges\0", 9) + std::string(18, '\0');
  const std::string row =
      std::string("\0\1", 2) + u32(static_cast<std::uint32_t>(gauges.size())) + gauges;
  const std::string in = message('T', column) + message('D', row) +
                         message('C', std::string("SELECT 1\0", 9)) + message('Z', "I");
  broker::Answer answer;
  std::size_t used = 0;
  EXPECT_EQ(make_wire()->answer(in, false, true, answer, used), upstream::Step::Done);
  EXPECT_EQ(answer.result, Result::Ok);
  return answer.report;
}

TEST(Wire, AReportsPositionIsInSeconds) {
  const Nanos at = net::now() / 1'000'000 * 1'000'000 - 150'000'000;
  const std::string ms = std::to_string(at / 1'000'000);
  const Report seconds = report_of("x0=" + ms.substr(0, 10) + "." + ms.substr(10) + ",x1=1");
  ASSERT_TRUE(seconds.position);
  EXPECT_NEAR(static_cast<double>(*seconds.position), static_cast<double>(at), 1e6);
  EXPECT_TRUE(seconds.primary.value_or(false));
  const Report milliseconds = report_of("x0=" + ms + ",x1=0");
  ASSERT_TRUE(milliseconds.position);
  EXPECT_NEAR(static_cast<double>(*milliseconds.position), static_cast<double>(at), 1e6);
  EXPECT_FALSE(milliseconds.primary.value_or(true));
}

TEST(Wire, AReportNotMadeYetTellsNothing) {
  const Report blank = report_of("x0=0.000,x1=0");
  EXPECT_FALSE(blank.position);
  EXPECT_FALSE(
      blank.primary);  // else each primary would be taken as replaced by every gateway that starts
}

}  // namespace
}  // namespace gorsebeam::postgres
