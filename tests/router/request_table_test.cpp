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

Request request_named(const std::string& id) {
  Request request;
  request.id = id;
  return request;
}

TEST(RequestTable, NumbersRequestsByArrivalAndForgetsThem) {
  RequestTable table;
  EXPECT_EQ(table.add(request_named("a")).sequence, 0U);
  EXPECT_EQ(table.add(request_named("b")).sequence, 1U);
  table.remove(table.at(0));
  EXPECT_FALSE(table.contains("a"));
  EXPECT_EQ(table.find("a"), nullptr);
  ASSERT_NE(table.find("b"), nullptr);
  EXPECT_EQ(table.find("b")->sequence, 1U);
  EXPECT_EQ(table.add(request_named("a")).sequence, 2U);
}

TEST(RequestTable, ListsEndpointsOfAllAttempts) {
  RequestTable table;
  UpstreamAttempt ended;
  ended.endpoint = 4;
  ended.in_flight = false;
  UpstreamAttempt open;
  open.endpoint = 2;
  table.add(request_named("a")).attempts = {ended, open};
  table.add(request_named("b")).attempts = {open};
  EXPECT_EQ(table.endpoints_in_use(), (std::set<EndpointId>{2, 4}));
}

TEST(RequestTimers, RoutersWithDifferentSeedsSweepOutOfPhaseOnce) {
  RequestTimers first(1, 1);
  RequestTimers second(2, 1);
  const Nanos first_sweep = first.next_sweep(0);
  EXPECT_NE(first_sweep, second.next_sweep(0));
  EXPECT_GE(first_sweep, kSweepInterval);
  EXPECT_LT(first_sweep, 2 * kSweepInterval);
  EXPECT_EQ(first.next_sweep(0), kSweepInterval) << "the phase is used up";
}

TEST(RequestTimers, ReturnsDueRequestsByTimeThenArrival) {
  RequestTimers timers(1, 1);
  RequestTable table;
  PendingRequest& late = table.add(request_named("late"));
  PendingRequest& early = table.add(request_named("early"));
  timers.schedule(late, 20);
  timers.schedule(early, 10);
  EXPECT_EQ(timers.first_due(9), std::nullopt);
  EXPECT_EQ(timers.first_due(20), early.sequence);
  timers.cancel(early);
  EXPECT_EQ(early.check_at, kNever);
  EXPECT_EQ(timers.first_due(20), late.sequence);
  timers.cancel(late);
  EXPECT_EQ(timers.first_due(20), std::nullopt);
}

TEST(RequestTimers, ArmsOnlyForAnEarlierTime) {
  RequestTimers timers(1, 5);
  RequestTable table;
  PendingRequest& request = table.add(request_named("a"));
  std::vector<Action> actions;
  EventContext event;
  event.actions = &actions;
  timers.arm(event);
  EXPECT_TRUE(actions.empty()) << "nothing is scheduled";
  timers.schedule(request, 100);
  timers.arm(event);
  timers.arm(event);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<SetTimer>(actions[0]).at, 100);
  timers.schedule_list_poll(1);
  timers.arm(event);
  ASSERT_EQ(actions.size(), 2U);
  EXPECT_EQ(std::get<SetTimer>(actions[1]).at, 5) << "not before the clock's next tick";
}

TEST(RequestTimers, AListPollIsDueOnce) {
  RequestTimers timers(1, 1);
  EXPECT_FALSE(timers.consume_due_list_poll(1000));
  timers.schedule_list_poll(100);
  EXPECT_FALSE(timers.consume_due_list_poll(99));
  EXPECT_TRUE(timers.consume_due_list_poll(100));
  EXPECT_FALSE(timers.consume_due_list_poll(101));
}

TEST(RequestTimers, ATimerFarTooLateMeansThatTheRouterStoodStill) {
  RequestTimers timers(1, 1);
  std::vector<Action> actions;
  EventContext event;
  event.actions = &actions;
  EXPECT_FALSE(timers.is_long_overdue(kNever - 1)) << "no timer is armed";
  timers.schedule_list_poll(100);
  timers.arm(event);
  EXPECT_FALSE(timers.is_long_overdue(100 + 4 * kSweepInterval));
  EXPECT_TRUE(timers.is_long_overdue(101 + 4 * kSweepInterval));
  timers.record_expiry(100);
  EXPECT_FALSE(timers.is_long_overdue(101 + 4 * kSweepInterval));
}

}  // namespace
}  // namespace gorsebeam::router
