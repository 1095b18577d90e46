/// Tests that many routers together send an endpoint in slow start no more than its budget, which
/// is the overload factor times its present capacity in each overload window.
#include "slow_start_fleet.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>

namespace gorsebeam::router_test {
namespace {

/// The requests per second at which the fleet's endpoints have two thirds of their full load.
constexpr double kNormalDemand = 160;

constexpr std::uint64_t kSeeds = 2;

enum class Replicas { Stay, Leave };

enum class Routers { Stay, Restart };

enum class StartedRole { Replica, Primary };

struct Scenario {
  int routers = 30;
  double demand_factor = 1;           ///< Times `kNormalDemand`, from the listing on.
  Replicas others = Replicas::Stay;   ///< The other endpoints, when the started one leaves.
  Routers processes = Routers::Stay;  ///< Shortly before the started endpoint is listed.
  Duration listing_delay = 2000ms;    ///< From its start to the list that contains it.
  StartedRole role = StartedRole::Replica;
};

/// What the started endpoint got in the runs of one scenario.
struct Result {
  double mean_share = 0;  ///< The mean over the runs of the highest share of the budget.
  int failures = 0;       ///< The number of runs in which it got more than budget and slack.
  double attempts = 0;    ///< The mean number of attempts in the 4 s after its listing.
};

void prepare(SlowStartFleet& fleet, const Scenario& scenario) {
  fleet.run_for(8s);
  fleet.remove_endpoints({kStartedEndpoint});
  if (scenario.others == Replicas::Leave)
    fleet.remove_endpoints({1, 2, 4});
  fleet.run_for(3s);
  if (scenario.processes == Routers::Restart) {
    for (std::size_t i = 0; i < fleet.router_count(); ++i)
      fleet.restart_router(i);
  }
  fleet.set_demand(kNormalDemand * scenario.demand_factor);
  fleet.run_for(200ms);
}

Result run(const Scenario& scenario) {
  Result result;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const EndpointId primary = scenario.role == StartedRole::Primary ? kStartedEndpoint : 1;
    SlowStartFleet fleet(scenario.routers, primary, kNormalDemand, seed);
    prepare(fleet, scenario);
    fleet.list_started_endpoint(scenario.listing_delay);
    fleet.run_for(4s);
    result.mean_share += fleet.highest_share_of_budget() / kSeeds;
    result.failures += fleet.has_failed() ? 1 : 0;
    result.attempts += static_cast<double>(fleet.started_endpoint_attempts()) / kSeeds;
  }
  return result;
}

void expect_within_budget(const Scenario& scenario) {
  const Result result = run(scenario);
  EXPECT_EQ(result.failures, 0) << scenario.routers << " routers";
  EXPECT_LE(result.mean_share, 1) << scenario.routers << " routers";
}

TEST(RouterSlowStartBudget, DoesNotGrowWithDemand) {
  for (const int routers : {1, 30})
    expect_within_budget({routers, 4, Replicas::Stay, Routers::Stay});
}

TEST(RouterSlowStartBudget, HoldsWhereNoOtherEndpointOfTheGroupServes) {
  for (const int routers : {1, 30})
    expect_within_budget({routers, 1, Replicas::Leave, Routers::Stay});
}

// The group's writes wait for the endpoint, as it stays the group's primary while it is away.
TEST(RouterSlowStartBudget, HoldsForAPrimaryWhoseWritesWait) {
  expect_within_budget({30, 4, Replicas::Stay, Routers::Stay, 2000ms, StartedRole::Primary});
}

TEST(RouterSlowStartBudget, HoldsForRoutersThatHaveJustStarted) {
  for (const Duration listing_delay : {0ms, 2000ms})
    expect_within_budget({30, 1, Replicas::Leave, Routers::Restart, listing_delay});
}

// At the normal demand, what the routers leave to a started endpoint must let it work: half of its
// present capacity where only it can serve a request, a third where others can.
TEST(RouterSlowStartBudget, LeavesAStartedEndpointInUse) {
  // Of its full capacity, between 2 s and 6 s after its start.
  constexpr double kMeanCapacity = 0.37;
  constexpr double kSeconds = 4;
  constexpr double kCapacity = kMeanCapacity * kFleetFullCapacity * kSeconds;
  Scenario scenario;
  EXPECT_GE(run(scenario).attempts, kCapacity / 3);
  scenario.role = StartedRole::Primary;
  EXPECT_GE(run(scenario).attempts, kCapacity / 2);
}

}  // namespace
}  // namespace gorsebeam::router_test
