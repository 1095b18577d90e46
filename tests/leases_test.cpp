/// Behaviour of the lease service that the simulation draws too seldom or cannot see from outside.
#include "leases/lease_manager.h"
#include "leases/lease_table.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace gorsebeam::leases {
namespace {

TEST(LeaseTable, AppliesGrantOnlyOverExpectedToken) {
  LeaseTable table;

  EXPECT_EQ(table.apply(5, LeaseTable::grant_command("r", "a~1", 0)), "r");
  EXPECT_EQ(table.apply(6, LeaseTable::grant_command("r", "b~1", 0)), std::nullopt);
  // Text behind the first line is ignored.
  EXPECT_EQ(table.apply(7, "grant r 5 b~1\nrm"), "r");

  EXPECT_EQ(table.grant_of("r").holder, "b~1");
  EXPECT_EQ(table.grant_of("r").token, 7U);
}

TEST(LeaseTable, ParsesOnlyWhatItSerialized) {
  LeaseTable table;
  table.apply(7, LeaseTable::grant_command("r", "b~1", 0));

  const std::optional<LeaseTable> parsed = LeaseTable::parse(table.serialize());

  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->grant_of("r").token, 7U);
  EXPECT_FALSE(LeaseTable::parse("r x").has_value());
}

TEST(LeaseManager, PassesRoleOfHolderThatMissesResponsesToSuccessor) {
  Settings settings;
  settings.roles = {"r"};
  LeaseManager manager(settings);
  LeaseTable table;
  table.apply(1, LeaseTable::grant_command("r", "deaf~1", 0));
  manager.start_leading(TimePoint{}, table);

  std::string proposed_command;
  std::uint64_t number = 1;
  for (TimePoint now{}; now < TimePoint(20s); now += 100ms) {
    if (now.time_since_epoch() % 600ms == 0ms) {
      manager.handle_request(now, {"deaf~1", "", number, 0, false});
      manager.handle_request(now, {"well~1", "", number, number - 1, false});
      ++number;
    }
    ManagerActions actions;
    manager.tick(now, actions);
    const auto round = static_cast<std::uint64_t>(now.time_since_epoch() / 1ms + 1);
    manager.handle_confirmation_started(round);
    manager.handle_leadership_confirmed(now, round, actions);
    for (const ManagerAction& action : actions)
      if (const auto* propose = std::get_if<ProposeGrant>(&action))
        proposed_command = propose->command;
  }

  EXPECT_EQ(proposed_command, LeaseTable::grant_command("r", "well~1", 1));
}

}  // namespace
}  // namespace gorsebeam::leases
