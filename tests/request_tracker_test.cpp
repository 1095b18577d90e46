// Tests how long a request is tracked, and what its history records.
#include "proxy/request_tracker.h"

#include <gtest/gtest.h>

#include <array>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace gorsebeam;
using namespace gorsebeam::proxy;

namespace {

struct UnusedCall : ClientCall {
  [[nodiscard]] bool may_have_disconnected() const override { return false; }

  ByteSpans body(Duration) override { return {}; }

  void respond(const ByteSpans&) override {}

  void reject(Duration) override {}

  void fail() override {}
};

class RequestTrackerTest : public testing::Test {
protected:
  RequestTrackerTest() {
    Request request;
    request.id = "r";
    request.class_index = 2;
    request.group = 3;
    tracker_.begin(request, {}, call_, TimePoint(5s));
  }

  void start_attempt(AttemptId attempt) { tracker_.find("r")->current_attempt = attempt; }

  void write_attempt() { ++tracker_.find("r")->history.in_flight; }

  UnusedCall call_;
  RequestTracker tracker_;
};

TEST_F(RequestTrackerTest, TracksARequestAsOpenUntilItIsComplete) {
  EXPECT_EQ(tracker_.open_count(), 1U);
  EXPECT_TRUE(tracker_.find("r")->is_open());
  EXPECT_EQ(tracker_.find("r")->history.class_index, 2U);
  EXPECT_EQ(tracker_.find("r")->history.group, 3U);
  EXPECT_EQ(tracker_.find("r")->begun_at, TimePoint(5s));
  EXPECT_EQ(tracker_.complete("r"), &call_);
  EXPECT_EQ(tracker_.open_count(), 0U);
  EXPECT_FALSE(tracker_.contains("r"));
}

TEST_F(RequestTrackerTest, CompletesARequestOnlyOnce) {
  start_attempt(1);
  EXPECT_EQ(tracker_.complete("r"), &call_);
  EXPECT_EQ(tracker_.complete("r"), nullptr);
  EXPECT_EQ(tracker_.complete("another"), nullptr);
  EXPECT_EQ(tracker_.open_count(), 0U);
}

TEST_F(RequestTrackerTest, KeepsACompleteRequestUntilItsAttemptEnds) {
  start_attempt(1);
  tracker_.complete("r");
  ASSERT_TRUE(tracker_.contains("r"));
  EXPECT_FALSE(tracker_.find("r")->is_open());
  EXPECT_FALSE(tracker_.record_attempt_end("r", std::nullopt, AttemptStatus::NotSent));
  EXPECT_FALSE(tracker_.contains("r"));
}

TEST_F(RequestTrackerTest, RecordsSinceWhenTheRequestMayHaveRun) {
  constexpr std::array<std::pair<AttemptStatus, bool>, 9> kCases{{
      {AttemptStatus::Ok, false},
      {AttemptStatus::Error, true},
      {AttemptStatus::Rejected, false},
      {AttemptStatus::Timeout, true},
      {AttemptStatus::Reset, true},
      {AttemptStatus::ConnectFailed, false},
      {AttemptStatus::Cancelled, true},
      {AttemptStatus::NotSent, false},
      {AttemptStatus::Misdirected, false},
  }};
  const TimePoint written_at(7s);
  for (const auto& [status, expected] : kCases) {
    RequestTracker tracker;
    Request request;
    request.id = "r";
    tracker.begin(request, {}, call_, TimePoint(5s));
    tracker.find("r")->history.in_flight = 1;
    EXPECT_TRUE(tracker.record_attempt_end("r", written_at, status));
    const RequestHistory& history = tracker.find("r")->history;
    EXPECT_EQ(history.in_flight, 0U);
    EXPECT_EQ(history.may_have_run_since, expected ? std::optional(written_at) : std::nullopt)
        << "status " << static_cast<int>(status);
  }
}

TEST_F(RequestTrackerTest, KeepsTheTimeOfTheFirstAttemptThatMayHaveRun) {
  write_attempt();
  tracker_.record_attempt_end("r", TimePoint(7s), AttemptStatus::Reset);
  write_attempt();
  tracker_.record_attempt_end("r", TimePoint(8s), AttemptStatus::Reset);
  EXPECT_EQ(tracker_.find("r")->history.may_have_run_since, TimePoint(7s));
}

TEST_F(RequestTrackerTest, NamesOpenRequestsThatArePastTheirDeadline) {
  Request request;
  request.id = "later";
  request.deadline = TimePoint(9s);
  tracker_.begin(request, {}, call_, TimePoint(5s));
  EXPECT_TRUE(tracker_.overdue(TimePoint(-1s)).empty());
  EXPECT_EQ(tracker_.overdue(TimePoint(8s)), std::vector<std::string>{"r"});
  EXPECT_EQ(tracker_.overdue(TimePoint(9s)).size(), 2U);
  tracker_.complete("later");
  EXPECT_EQ(tracker_.overdue(TimePoint(9s)), std::vector<std::string>{"r"});
}

TEST_F(RequestTrackerTest, AnAttemptThatWasNotWrittenHasNotRun) {
  start_attempt(1);
  EXPECT_TRUE(tracker_.record_attempt_end("r", std::nullopt, AttemptStatus::Cancelled));
  EXPECT_EQ(tracker_.find("r")->history.may_have_run_since, std::nullopt);
  EXPECT_EQ(tracker_.find("r")->current_attempt, std::nullopt);
}

}  // namespace
