#include "router/endpoint_list_updater.h"

#include "policy_fixture.h"

#include <vector>

namespace gorsebeam::router {
namespace {

Endpoint make_entry(EndpointId id, EndpointStatus status) {
  Endpoint entry;
  entry.id = id;
  entry.status = status;
  return entry;
}

class EndpointListUpdaterTest : public PolicyFixture {
protected:
  using PolicyFixture::PolicyFixture;

  void apply(EndpointList::Kind kind, std::vector<Endpoint> endpoints) {
    EndpointList list;
    list.kind = kind;
    list.endpoints = std::move(endpoints);
    updater_.apply(list);
  }

  template <typename Message>
  [[nodiscard]] std::size_t count_messages() const {
    std::size_t count = 0;
    for (const LogMessage& message : actions_of<LogMessage>())
      count += std::holds_alternative<Message>(message) ? 1 : 0;
    return count;
  }

  EndpointListUpdater updater_{state_};
};

TEST_F(EndpointListUpdaterTest, ExcludesADrainingEndpointAndLogsItOnce) {
  apply(EndpointList::Kind::Delta, {make_entry(2, EndpointStatus::Draining)});
  apply(EndpointList::Kind::Delta, {make_entry(2, EndpointStatus::Draining)});
  apply(EndpointList::Kind::Delta, {make_entry(2, EndpointStatus::Removed)});
  EXPECT_FALSE(state_.endpoints.at(2).is_usable());
  EXPECT_EQ(count_messages<EndpointDraining>(), 1U);
  EXPECT_EQ(count_messages<EndpointRemoved>(), 0U);
}

TEST_F(EndpointListUpdaterTest, RemovesWhatAFullListLeavesOut) {
  apply(EndpointList::Kind::Full, {make_entry(1, EndpointStatus::Up)});
  EXPECT_TRUE(state_.endpoints.at(1).is_usable());
  EXPECT_FALSE(state_.endpoints.at(2).is_usable());
  EXPECT_EQ(count_messages<EndpointRemoved>(), 2U);
  apply(EndpointList::Kind::Delta, {make_entry(2, EndpointStatus::Up)});
  EXPECT_TRUE(state_.endpoints.at(2).is_usable());
}

class EndpointStartTest : public EndpointListUpdaterTest {
protected:
  static Settings settings_with_slow_start() {
    Settings settings = default_settings();
    settings.slow_start_duration = 10s;
    return settings;
  }

  EndpointStartTest() : EndpointListUpdaterTest(settings_with_slow_start()) {}

  /// Endpoint 2 is listed with a start at `started_at`, after a list that did not contain it.
  const EndpointState& list_start(TimePoint started_at) {
    apply(EndpointList::Kind::Full, {make_entry(2, EndpointStatus::Up)});
    state_.event.now += 20s;
    Endpoint entry = make_entry(2, EndpointStatus::Up);
    entry.started_at = started_at;
    apply(EndpointList::Kind::Delta, {entry});
    return state_.endpoints.at(2);
  }
};

TEST_F(EndpointStartTest, TakesTheListedStart) {
  const TimePoint started_at = kStart + 17s;
  EXPECT_EQ(list_start(started_at).slow_start_since, started_at);
}

TEST_F(EndpointStartTest, DoesNotProlongASlowStartByAClockThatIsAhead) {
  EXPECT_EQ(list_start(kStart + 1h).slow_start_since, state_.event.now);
}

TEST_F(EndpointStartTest, NoticesAStartByAClockThatIsBehind) {
  EXPECT_EQ(list_start(kStart - 15min).slow_start_since, state_.event.now);
}

Endpoint make_moved_entry(EndpointId id, EndpointStatus status = EndpointStatus::Up) {
  Endpoint entry = make_entry(id, status);
  entry.group = 9;
  return entry;
}

// Guards against a group that keeps the id of an endpoint which the list has moved: once the
// endpoint was forgotten, each request of that group threw an exception and got no answer.
TEST_F(EndpointListUpdaterTest, MovesAnEndpointToTheGroupThatTheListNames) {
  apply(EndpointList::Kind::Delta, {make_moved_entry(2)});
  EXPECT_EQ(state_.endpoints.group(0).endpoints, (std::vector<EndpointId>{1, 3}));
  EXPECT_EQ(state_.endpoints.group(9).endpoints, (std::vector<EndpointId>{2}));
  EXPECT_TRUE(state_.endpoints.at(2).is_ejected) << "nothing is known of it in its new group";
  EXPECT_EQ(state_.endpoints.at(2).position, kUnknownPosition);
  EXPECT_EQ(count_messages<EndpointMoved>(), 1U);

  apply(EndpointList::Kind::Delta, {make_moved_entry(2, EndpointStatus::Removed)});
  state_.event.now += 60s;
  apply(EndpointList::Kind::Delta, {});
  EXPECT_EQ(state_.endpoints.find(2), nullptr);
  EXPECT_TRUE(state_.endpoints.group(9).endpoints.empty());
}

TEST_F(EndpointListUpdaterTest, LeavesNoPrimaryBehindInTheFormerGroup) {
  apply(EndpointList::Kind::Full, {make_moved_entry(1), make_entry(2, EndpointStatus::Up)});
  EXPECT_FALSE(state_.endpoints.group(0).primary);
  EXPECT_FALSE(state_.endpoints.group(9).primary);
}

// A delta can name an endpoint that has gone without its group, which counts as group 0.
TEST_F(EndpointListUpdaterTest, ForgetsAnEndpointThatIsRemovedUnderAnotherGroup) {
  apply(EndpointList::Kind::Delta, {make_moved_entry(3, EndpointStatus::Removed)});
  EXPECT_FALSE(state_.endpoints.at(3).is_usable());
  EXPECT_EQ(state_.endpoints.group(0).endpoints, (std::vector<EndpointId>{1, 2}));
  state_.event.now += 60s;
  apply(EndpointList::Kind::Delta, {});
  EXPECT_EQ(state_.endpoints.find(3), nullptr);
}

Settings with_removed_endpoints_serving(Settings settings) {
  settings.removed_endpoints_may_serve = true;
  return settings;
}

class RemovedEndpointsMayServeTest : public EndpointListUpdaterTest {
protected:
  RemovedEndpointsMayServeTest()
      : EndpointListUpdaterTest(with_removed_endpoints_serving(default_settings())) {}
};

TEST_F(RemovedEndpointsMayServeTest, ExcludesOnlyWhatDrained) {
  apply(EndpointList::Kind::Delta, {make_entry(3, EndpointStatus::Draining)});
  apply(EndpointList::Kind::Full, {make_entry(1, EndpointStatus::Up)});
  EXPECT_TRUE(state_.endpoints.at(2).is_usable());
  EXPECT_FALSE(state_.endpoints.at(3).is_usable());
}

}  // namespace
}  // namespace gorsebeam::router
