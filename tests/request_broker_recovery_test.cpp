// Guards against requests without a final answer where exceptions repeat: each exception put off
// the recovery from the one before it.
#include "proxy/request_broker.h"

#include "request_broker_fakes.h"
#include "soak/virtual_time.h"

#include <gtest/gtest.h>

#include <string>

namespace gorsebeam::proxy {
namespace {

using test_support::FakeCall;
using test_support::FakeUpstream;
using test_support::list_of_one_replica;
using test_support::UnreadableList;

constexpr Duration kDeadline = 2s;
// How long after its deadline a request may get its answer if an exception cost it a timer.
constexpr Duration kAnswerSlack = 250ms;

class RequestBrokerRecoveryTest : public testing::Test {
protected:
  RequestBrokerRecoveryTest() {
    broker_.attach(upstream_);
    broker_.update_endpoints(EndpointList::Kind::Full, list_of_one_replica("replica"));
    UpstreamResponse healthy;
    healthy.status = AttemptStatus::Ok;
    broker_.complete_health_check(upstream_.health_checks.back(), healthy);
  }

  ~RequestBrokerRecoveryTest() override { virtual_time::discard_scheduled(); }

  /// Begins a request whose attempt never ends, as if its end had been lost to an exception.
  void begin_lost_request(const std::string& id, FakeCall& call) {
    Request request;
    request.id = id;
    request.deadline = net::now() + kDeadline;
    ASSERT_EQ(broker_.begin_request(request, call), BeginResult::Begun);
  }

  /// Makes the broker contain an exception at each `interval` from now on, for `duration`.
  void throw_repeatedly(Duration interval, Duration duration) {
    broker_.set_list_source(&list_);
    for (Duration delay{}; delay < duration; delay += interval)
      virtual_time::schedule(net::now() + delay, [this] {
        const RequestBroker::EventBatch batch(broker_);
      });
    virtual_time::schedule(net::now() + duration, [this] {
      list_.is_readable = true;
    });
  }

  static void run_for(Duration duration) { virtual_time::run_until(net::now() + duration); }

  RequestBroker broker_{test_support::make_broker_settings(), 1};
  FakeUpstream upstream_;
  UnreadableList list_;
};

TEST_F(RequestBrokerRecoveryTest, FailsOverdueRequestsWhileExceptionsRepeat) {
  FakeCall call;
  begin_lost_request("lost", call);
  throw_repeatedly(50ms, 3 * kDeadline);
  run_for(kDeadline + kAnswerSlack);
  EXPECT_GT(list_.reads, 0);
  EXPECT_EQ(call.failed, 1);
}

TEST_F(RequestBrokerRecoveryTest, FailsTheOtherOverdueRequestsWhereFailingOneThrows) {
  FakeCall first;
  FakeCall second;
  first.throws_at_fail = true;
  second.throws_at_fail = true;
  begin_lost_request("first", first);
  begin_lost_request("second", second);
  throw_repeatedly(50ms, 100ms);
  EXPECT_NO_THROW(run_for(kDeadline + kAnswerSlack));
  EXPECT_EQ(first.failed, 1);
  EXPECT_EQ(second.failed, 1);
}

// The exceptions until 50 ms are recovered from until 3,050 ms: for the deadline and one second.
// The recovery at 3,100 ms, which would be the last, fails the first request and gets an exception.
TEST_F(RequestBrokerRecoveryTest, RecoversAnewFromAnExceptionDuringTheLastRecovery) {
  throw_repeatedly(50ms, 60ms);
  run_for(1060ms);
  FakeCall first;
  first.throws_at_fail = true;
  begin_lost_request("first", first);
  run_for(1000ms);
  FakeCall second;
  begin_lost_request("second", second);
  EXPECT_NO_THROW(run_for(kDeadline - 1000ms + kAnswerSlack));
  EXPECT_EQ(first.failed, 1);
  run_for(1000ms);
  EXPECT_EQ(second.failed, 1);
}

TEST_F(RequestBrokerRecoveryTest, ContainsAnExceptionOfTheCallThatIsFailed) {
  FakeCall thrown;
  thrown.throws_at_fail = true;
  upstream_.throws_at_start = true;
  Request request;
  request.id = "thrown";
  request.deadline = net::now() + kDeadline;
  bool is_begun = false;
  EXPECT_NO_THROW(is_begun = broker_.begin_request(request, thrown) == BeginResult::Begun);
  EXPECT_TRUE(is_begun);
  EXPECT_EQ(broker_.open_requests(), 0U);
}

}  // namespace
}  // namespace gorsebeam::proxy
