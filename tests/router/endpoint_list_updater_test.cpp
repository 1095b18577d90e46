#include "router/endpoint_list_updater.h"

#include "policy_fixture.h"

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
