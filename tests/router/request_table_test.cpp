/// Tests of src/router/request_table.h and src/router/request_timers.h.
#include "router/request_table.h"

#include "router/request_timers.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace gorsebeam::router {
namespace {

Request make_request(const std::string& id) {
  Request request;
  request.id = id;
  return request;
}

TEST(RequestTable, NumbersRequestsByArrivalAndForgetsThem) {
  RequestTable table;
  EXPECT_EQ(table.add(make_request("a")).sequence, 0U);
  EXPECT_EQ(table.add(make_request("b")).sequence, 1U);
  table.remove(table.at(0));
  EXPECT_FALSE(table.contains("a"));
  EXPECT_EQ(table.find("a"), nullptr);
  ASSERT_NE(table.find("b"), nullptr);
  EXPECT_EQ(table.find("b")->sequence, 1U);
  EXPECT_EQ(table.add(make_request("a")).sequence, 2U);
}

TEST(RequestTable, ListsEndpointsOfAllAttempts) {
  RequestTable table;
  UpstreamAttempt ended;
  ended.endpoint = 4;
  ended.in_flight = false;
  UpstreamAttempt open;
  open.endpoint = 2;
  table.add(make_request("a")).attempts = {ended, open};
  table.add(make_request("b")).attempts = {open};
  EXPECT_EQ(table.endpoints_in_use(), (std::set<EndpointId>{2, 4}));
}

TEST(RequestTimers, RoutersWithDifferentSeedsOffsetTheirFirstCheck) {
  RequestTimers first(1, 1ns);
  RequestTimers second(2, 1ns);
  const TimePoint first_check = first.next_periodic_check(TimePoint{});
  EXPECT_NE(first_check, second.next_periodic_check(TimePoint{}));
  EXPECT_GE(first_check, TimePoint(kRequestCheckInterval));
  EXPECT_LT(first_check, TimePoint(2 * kRequestCheckInterval));
  EXPECT_EQ(first.next_periodic_check(TimePoint{}), TimePoint(kRequestCheckInterval))
      << "only the first check is offset";
}

TEST(RequestTimers, ReturnsDueRequestsByTimeThenArrival) {
  RequestTimers timers(1, 1ns);
  RequestTable table;
  PendingRequest& late = table.add(make_request("late"));
  PendingRequest& early = table.add(make_request("early"));
  timers.schedule(late, TimePoint(20ns));
  timers.schedule(early, TimePoint(10ns));
  EXPECT_EQ(timers.first_due(TimePoint(9ns)), std::nullopt);
  EXPECT_EQ(timers.first_due(TimePoint(20ns)), early.sequence);
  timers.cancel(early);
  EXPECT_EQ(early.check_at, kNever);
  EXPECT_EQ(timers.first_due(TimePoint(20ns)), late.sequence);
  timers.cancel(late);
  EXPECT_EQ(timers.first_due(TimePoint(20ns)), std::nullopt);
}

TEST(RequestTimers, ArmsOnlyForAnEarlierTime) {
  RequestTimers timers(1, 5ns);
  RequestTable table;
  PendingRequest& request = table.add(make_request("a"));
  std::vector<Action> actions;
  EventContext event;
  event.actions = &actions;
  timers.arm(event);
  EXPECT_TRUE(actions.empty()) << "nothing is scheduled";
  timers.schedule(request, TimePoint(100ns));
  timers.arm(event);
  timers.arm(event);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<SetTimer>(actions[0]).at, TimePoint(100ns));
  timers.schedule_list_poll(TimePoint(1ns));
  timers.arm(event);
  ASSERT_EQ(actions.size(), 2U);
  EXPECT_EQ(std::get<SetTimer>(actions[1]).at, TimePoint(5ns))
      << "the timer expires one clock step from now at the earliest";
}

TEST(RequestTimers, AListPollIsDueOnce) {
  RequestTimers timers(1, 1ns);
  EXPECT_FALSE(timers.consume_due_list_poll(TimePoint(1000ns)));
  timers.schedule_list_poll(TimePoint(100ns));
  EXPECT_FALSE(timers.consume_due_list_poll(TimePoint(99ns)));
  EXPECT_TRUE(timers.consume_due_list_poll(TimePoint(100ns)));
  EXPECT_FALSE(timers.consume_due_list_poll(TimePoint(101ns)));
}

TEST(RequestTimers, ATimerFarTooLateMeansThatTheRouterWasStalled) {
  RequestTimers timers(1, 1ns);
  std::vector<Action> actions;
  EventContext event;
  event.actions = &actions;
  EXPECT_FALSE(timers.is_long_overdue(kNever - 1ns)) << "no timer is armed";
  timers.schedule_list_poll(TimePoint(100ns));
  timers.arm(event);
  EXPECT_FALSE(timers.is_long_overdue(TimePoint(100ns) + 4 * kRequestCheckInterval));
  EXPECT_TRUE(timers.is_long_overdue(TimePoint(101ns) + 4 * kRequestCheckInterval));
  timers.record_expiry(TimePoint(100ns));
  EXPECT_FALSE(timers.is_long_overdue(TimePoint(101ns) + 4 * kRequestCheckInterval));
}

}  // namespace
}  // namespace gorsebeam::router
