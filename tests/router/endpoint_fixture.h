/// A fixture with one group of endpoints and an event that is being handled, for tests of modules
/// that change endpoint states.
#pragma once

#include "router/endpoint_table.h"
#include "router/event_context.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <variant>
#include <vector>

namespace gorsebeam::router {

class EndpointFixture : public testing::Test {
protected:
  static constexpr GroupId kGroup = 7;
  static constexpr TimePoint kStart{1000s};

  EndpointFixture() {
    event_.now = kStart;
    event_.actions = &actions_;
  }

  /// Adds an endpoint that is up and not ejected to the group.
  EndpointState& add_endpoint(EndpointId id) {
    EndpointState& endpoint = endpoints_.find_or_create(id);
    endpoint.listing.id = id;
    endpoint.listing.group = kGroup;
    endpoint.is_ejected = false;
    endpoints_.group(kGroup).endpoints.push_back(id);
    return endpoint;
  }

  ReplicaGroup& group() { return endpoints_.group(kGroup); }

  template <typename Wanted>
  [[nodiscard]] std::size_t count_actions() const {
    std::size_t count = 0;
    for (const Action& action : actions_)
      count += std::holds_alternative<Wanted>(action) ? 1 : 0;
    return count;
  }

  template <typename Wanted>
  [[nodiscard]] std::size_t count_logs() const {
    std::size_t count = 0;
    for (const Action& action : actions_) {
      const auto* message = std::get_if<LogMessage>(&action);
      count += message != nullptr && std::holds_alternative<Wanted>(*message) ? 1 : 0;
    }
    return count;
  }

  std::vector<Action> actions_;
  EventContext event_;
  EndpointTable endpoints_;
};

}  // namespace gorsebeam::router
