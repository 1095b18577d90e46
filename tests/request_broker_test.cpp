// Guards against a broker that stops for good: an exception while it handled one event kept it from
// handling any later one, so that no request got an answer.
#include "proxy/request_broker.h"

#include "request_broker_fakes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace gorsebeam::proxy {
namespace {

using test_support::FakeCall;
using test_support::FakeUpstream;
using test_support::list_of_one_replica;
using test_support::UnreadableList;

class RequestBrokerTest : public testing::Test {
protected:
  RequestBrokerTest() {
    broker_.attach(upstream_);
    list_replica("replica");
    report_health(upstream_.health_checks.back());
  }

  /// Applies a list of one replica.
  void list_replica(const std::string& name) {
    broker_.update_endpoints(EndpointList::Kind::Full, list_of_one_replica(name));
  }

  void report_health(EndpointId endpoint) {
    UpstreamResponse healthy;
    healthy.status = AttemptStatus::Ok;
    broker_.complete_health_check(endpoint, healthy);
  }

  bool begin(const std::string& id, FakeCall& call) {
    Request request;
    request.id = id;
    request.deadline = net::now() + 2s;
    return broker_.begin_request(request, call) == BeginResult::Begun;
  }

  void answer_last_attempt() {
    UpstreamResponse response;
    response.status = AttemptStatus::Ok;
    broker_.complete_attempt(upstream_.attempts.back().attempt, response);
  }

  RequestBroker broker_{test_support::make_broker_settings(), 1};
  FakeUpstream upstream_;
};

// Guards against stale reads at a replica that replaced another one: it got the id of that one, and
// with it its position and its admission, if their names ended in the same digits.
TEST_F(RequestBrokerTest, GivesAReplacementAnIdOfItsOwn) {
  list_replica("pg-porto-20261201");
  const EndpointId former = upstream_.health_checks.back();
  report_health(former);
  const std::size_t checks = upstream_.health_checks.size();
  list_replica("pg-nord-20261201");
  ASSERT_EQ(upstream_.health_checks.size(), checks + 1) << "nothing is known of it";
  EXPECT_NE(upstream_.health_checks.back(), former);
}

TEST_F(RequestBrokerTest, FailsOnlyTheRequestWhoseHandlingThrows) {
  FakeCall earlier;
  ASSERT_TRUE(begin("earlier", earlier));
  ASSERT_EQ(upstream_.attempts.size(), 1U);

  FakeCall thrown;
  upstream_.throws_at_start = true;
  ASSERT_TRUE(begin("thrown", thrown));
  upstream_.throws_at_start = false;
  EXPECT_EQ(thrown.failed, 1);
  EXPECT_EQ(broker_.open_requests(), 1U);

  answer_last_attempt();
  EXPECT_EQ(earlier.served, 1);

  FakeCall later;
  ASSERT_TRUE(begin("later", later));
  ASSERT_EQ(upstream_.attempts.size(), 2U);
  answer_last_attempt();
  EXPECT_EQ(later.served, 1);
  EXPECT_EQ(thrown.failed + thrown.served + thrown.rejected, 1);
  EXPECT_EQ(broker_.open_requests(), 0U);
}

TEST_F(RequestBrokerTest, HandlesEventsAlthoughReadingThrows) {
  UnreadableList list;
  broker_.set_list_source(&list);
  upstream_.throws_at_read = true;
  FakeCall call;
  ASSERT_TRUE(begin("id", call));
  EXPECT_GT(list.reads, 0);
  ASSERT_EQ(upstream_.attempts.size(), 1U);
  answer_last_attempt();
  EXPECT_EQ(call.served, 1);
}

TEST_F(RequestBrokerTest, AcceptsTheIdOfAFailedRequestAgain) {
  FakeCall thrown;
  upstream_.throws_at_start = true;
  ASSERT_TRUE(begin("id", thrown));
  upstream_.throws_at_start = false;
  FakeCall again;
  EXPECT_TRUE(begin("id", again)) << "nothing of the failed request stays behind";
}

}  // namespace
}  // namespace gorsebeam::proxy
