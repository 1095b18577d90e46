#include "config_versions/apply_scheduler.h"

#include "version_tracker_fixture.h"

#include <gtest/gtest.h>

#include <array>

namespace gorsebeam::config_versions {
namespace {

constexpr Duration kInterval = 50ms;
constexpr TimePoint kStart{1000ms};

/// Makes running versions whose contents are the given values.
AcceptedVersions make_accepted(int contracts, int members) {
  const FileVersions versions = make_file_versions(contracts, members);
  AcceptedVersions accepted;
  for (std::size_t i = 0; i < kResourceTypeCount; ++i)
    accepted[i].running = versions[i];
  return accepted;
}

TEST(ApplyScheduler, MarksAllTypesAsChangedTheFirstTime) {
  ApplyScheduler scheduler;

  const ApplyConfiguration applied = scheduler.apply(kStart, make_accepted(1, 2));

  EXPECT_EQ(value_of(applied.bodies[0]), 1);
  EXPECT_EQ(value_of(applied.bodies[1]), 2);
  EXPECT_EQ(applied.changed, (std::array<bool, kResourceTypeCount>{true, true, true}));
}

TEST(ApplyScheduler, MarksOnlyTypesWhoseContentDiffersFromTheLastApplication) {
  ApplyScheduler scheduler;
  static_cast<void>(scheduler.apply(kStart, make_accepted(1, 2)));

  const ApplyConfiguration applied = scheduler.apply(kStart, make_accepted(1, 3));

  EXPECT_EQ(applied.changed, (std::array<bool, kResourceTypeCount>{false, true, false}));
}

TEST(ApplyScheduler, IsDueOneIntervalAfterTheLastApplicationAndOnlyIfRequested) {
  ApplyScheduler scheduler;
  static_cast<void>(scheduler.apply(kStart, make_accepted(0, 0)));
  EXPECT_EQ(scheduler.next_deadline(kInterval), kNever);
  EXPECT_FALSE(scheduler.is_due(kStart + kInterval, kInterval));

  scheduler.request();

  EXPECT_EQ(scheduler.next_deadline(kInterval), kStart + kInterval);
  EXPECT_FALSE(scheduler.is_due(kStart + kInterval - 1ns, kInterval));
  EXPECT_TRUE(scheduler.is_due(kStart + kInterval, kInterval));
}

TEST(ApplyScheduler, IsDueAtOnceBeforeTheFirstApplication) {
  ApplyScheduler scheduler;

  scheduler.request();

  EXPECT_TRUE(scheduler.is_due(kStart, kInterval));
}

}  // namespace
}  // namespace gorsebeam::config_versions
