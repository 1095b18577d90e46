/// Tests which of several admitted endpoints gets a request.
#include "router_harness.h"

namespace gorsebeam::router_test {
namespace {

TEST(RouterEndpointChoice, SessionsStickToOneReplicaAndSpread) {
  RouterHarness harness;
  harness.list_healthy_group();
  std::set<EndpointId> used;
  for (std::uint64_t session = 0; session < 60; ++session) {
    const std::string first = harness.send_request(kSessionRead, session);
    const EndpointId endpoint = harness.attempted_endpoint();
    ASSERT_NE(endpoint, kNoEndpoint);
    EXPECT_NE(endpoint, 1U) << "the primary takes no reads that replicas can serve";
    used.insert(endpoint);
    harness.answer(first, endpoint);
    const std::string again = harness.send_request(kSessionRead, session);
    EXPECT_EQ(harness.attempted_endpoint(), endpoint);
    harness.answer(again, endpoint);
  }

  EXPECT_EQ(used.size(), 3U);
}

TEST(RouterEndpointChoice, SendsWritesAndStrongReadsToPrimary) {
  RouterHarness harness;
  harness.list_healthy_group();
  harness.send_request(kPlainWrite, 1);
  EXPECT_EQ(harness.attempted_endpoint(), 1U);
  harness.send_request(kStrongRead);
  EXPECT_EQ(harness.attempted_endpoint(), 1U);
}

}  // namespace
}  // namespace gorsebeam::router_test
