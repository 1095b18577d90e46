/// Behaviour of the lease service that the simulation rarely produces or cannot observe.
#include "leases/lease_manager.h"
#include "leases/lease_table.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gorsebeam::leases {
namespace {

constexpr const char* kRole = "reports";
constexpr const char* kHealthyHolder = "healthy~1";
constexpr const char* kOtherHolder = "other~1";
/// A gateway whose requests arrive, but which receives no response.
constexpr const char* kUnreachableHolder = "unreachable~1";

TEST(LeaseTable, AppliesGrantOnlyIfTokenIsAsExpected) {
  LeaseTable table;

  EXPECT_EQ(table.apply(5, LeaseTable::grant_command(kRole, kHealthyHolder, 0)), kRole);
  EXPECT_EQ(table.apply(6, LeaseTable::grant_command(kRole, kOtherHolder, 0)), std::nullopt);
  // Text after the holder is ignored.
  EXPECT_EQ(table.apply(7, "grant reports 5 other~1\nrm"), kRole);

  EXPECT_EQ(table.grant_of(kRole).holder, kOtherHolder);
  EXPECT_EQ(table.grant_of(kRole).token, 7U);
}

TEST(LeaseTable, ParsesOnlyWhatItSerialized) {
  LeaseTable table;
  table.apply(7, LeaseTable::grant_command(kRole, kOtherHolder, 0));

  const std::optional<LeaseTable> parsed = LeaseTable::parse(table.serialize());

  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->grant_of(kRole).token, 7U);
  EXPECT_FALSE(LeaseTable::parse("reports x").has_value());
}

/// Advances the manager to `now`, confirms at once that it leads, and returns the commands that it
/// proposes.
std::vector<std::string> advance(LeaseManager& manager, TimePoint now) {
  ManagerActions actions;
  manager.tick(now, actions);
  const auto round = static_cast<std::uint64_t>(now.time_since_epoch() / 1ms + 1);
  manager.handle_confirmation_started(round);
  manager.handle_leadership_confirmed(now, round, actions);
  std::vector<std::string> proposed_commands;
  for (const ManagerAction& action : actions)
    if (const auto* propose = std::get_if<ProposeGrant>(&action))
      proposed_commands.push_back(propose->command);
  return proposed_commands;
}

TEST(LeaseManager, GrantsRoleOfHolderThatMissesResponsesToAnotherGateway) {
  Settings settings;
  settings.roles = {kRole};
  LeaseManager manager(settings);
  LeaseTable table;
  table.apply(1, LeaseTable::grant_command(kRole, kUnreachableHolder, 0));
  manager.start_leading(TimePoint{}, table);

  std::vector<std::string> proposed_commands;
  std::uint64_t number = 1;
  for (TimePoint now{}; now < TimePoint(20s); now += 100ms) {
    if (now.time_since_epoch() % 600ms == 0ms) {
      manager.handle_request(now, {kUnreachableHolder, "", number, 0, false});
      manager.handle_request(now, {kHealthyHolder, "", number, number - 1, false});
      ++number;
    }
    for (std::string& command : advance(manager, now))
      proposed_commands.push_back(std::move(command));
  }

  ASSERT_FALSE(proposed_commands.empty());
  EXPECT_EQ(proposed_commands.back(), LeaseTable::grant_command(kRole, kHealthyHolder, 1));
}

}  // namespace
}  // namespace gorsebeam::leases
