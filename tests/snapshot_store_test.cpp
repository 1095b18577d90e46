#include "snapshot_store/snapshot_store.h"
#include "xds/xds.h"

#include <gtest/gtest.h>

#include <iterator>
#include <optional>
#include <string>
#include <utility>

namespace gorsebeam::snapshot_store {
namespace {

state::v1::LastGood sample() {
  state::v1::LastGood good;
  good.set_schema(1);
  state::v1::Part* contracts = good.mutable_contracts();
  contracts->set_held(true);
  contracts->set_version("c3");
  contracts->set_source("127.0.0.1:15010");
  contracts->set_accepted_unix_ms(1'754'000'000'123);
  contracts->set_generation(5);
  contracts->set_newest(7);
  good.mutable_contracts_value()->set_generation(5);
  config::pb::Team* team = good.mutable_contracts_value()->add_team();
  team->set_name("portal");
  team->mutable_budget()->set_per_second(3);
  team->mutable_budget()->set_burst(2);
  team->add_class_()->set_name("any");
  good.mutable_members();  // written also where it is not held
  state::v1::Part* limits = good.mutable_limits();
  limits->set_held(true);
  limits->set_version("l1");
  limits->set_source("127.0.0.1:15010");
  limits->set_generation(9);
  limits->set_newest(9);
  good.mutable_limits_value()->set_generation(9);
  good.mutable_limits_value()->set_client_connections(100);
  return good;
}

// A snapshot file as the program wrote it at commit d929b66, from sample().
constexpr unsigned char kRecordedFile[] = {
    0x67, 0x6f, 0x72, 0x73, 0x65, 0x62, 0x65, 0x61, 0x6d, 0x20, 0x73, 0x74, 0x61, 0x74, 0x65, 0x0a,
    0xf0, 0xbf, 0x16, 0x5e, 0xf1, 0x12, 0x6e, 0xe8, 0x08, 0x01, 0x12, 0x22, 0x08, 0x01, 0x12, 0x02,
    0x63, 0x33, 0x1a, 0x0f, 0x31, 0x32, 0x37, 0x2e, 0x30, 0x2e, 0x30, 0x2e, 0x31, 0x3a, 0x31, 0x35,
    0x30, 0x31, 0x30, 0x20, 0xfb, 0x88, 0xb0, 0x94, 0x86, 0x33, 0x28, 0x05, 0x30, 0x07, 0x1a, 0x00,
    0x22, 0x1b, 0x08, 0x01, 0x12, 0x02, 0x6c, 0x31, 0x1a, 0x0f, 0x31, 0x32, 0x37, 0x2e, 0x30, 0x2e,
    0x30, 0x2e, 0x31, 0x3a, 0x31, 0x35, 0x30, 0x31, 0x30, 0x28, 0x09, 0x30, 0x09, 0x2a, 0x27, 0x08,
    0x05, 0x1a, 0x23, 0x0a, 0x06, 0x70, 0x6f, 0x72, 0x74, 0x61, 0x6c, 0x12, 0x12, 0x09, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x08, 0x40, 0x11, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x40, 0x1a,
    0x05, 0x0a, 0x03, 0x61, 0x6e, 0x79, 0x3a, 0x04, 0x08, 0x09, 0x18, 0x64,
};

std::string recorded_file() {
  return {std::begin(kRecordedFile), std::end(kRecordedFile)};
}

TEST(SnapshotStore, EncodesTheRecordedBytes) {
  EXPECT_EQ(packed(sample()), recorded_file());
}

TEST(SnapshotStore, DecodesARecordedFileAndEncodesTheSameBytesAgain) {
  std::string why;
  const std::optional<state::v1::LastGood> snapshot = unpacked(recorded_file(), why);
  ASSERT_TRUE(snapshot) << why;
  EXPECT_EQ(snapshot->schema(), 1u);
  EXPECT_EQ(snapshot->contracts().version(), "c3");
  EXPECT_EQ(snapshot->contracts().newest(), 7u);
  EXPECT_EQ(snapshot->contracts_value().team(0).name(), "portal");
  EXPECT_FALSE(snapshot->members().held());
  EXPECT_EQ(snapshot->limits_value().client_connections(), 100u);
  EXPECT_EQ(packed(*snapshot), recorded_file());
}

TEST(SnapshotStore, MakesTheSameBytesFromATrackerThatRestoredARecordedFile) {
  std::string why;
  const std::optional<state::v1::LastGood> snapshot = unpacked(recorded_file(), why);
  ASSERT_TRUE(snapshot) << why;
  config::Site site;
  site.classes = {{"any", 0}};
  std::optional<Kept> kept = kept_of(*snapshot, site, why);
  ASSERT_TRUE(kept) << why;
  config_versions::Machine machine({}, [](const config_versions::Bodies&) {
    return std::nullopt;
  });
  machine.file_at_start({xds::version_of(config::pb::Contracts()),
                         xds::version_of(config::pb::Members()),
                         xds::version_of(config::pb::Limits())});
  ASSERT_EQ(machine.stored(std::move(*kept)), "");
  EXPECT_EQ(packed(good_of(machine)), recorded_file());
}

TEST(SnapshotStore, RejectsDamagedAndNewerFiles) {
  std::string why;
  EXPECT_FALSE(unpacked("gorsebeam", why));
  EXPECT_EQ(why, "it is no state of this program, or its head is damaged");
  std::string flipped = recorded_file();
  flipped[flipped.size() / 2] = static_cast<char>(flipped[flipped.size() / 2] ^ 1);
  EXPECT_FALSE(unpacked(flipped, why));
  EXPECT_EQ(why, "it is damaged: its checksum does not fit");
  state::v1::LastGood newer = sample();
  newer.set_schema(2);
  EXPECT_FALSE(unpacked(packed(newer), why));
  EXPECT_EQ(why, "it is of schema 2, newer than this program's 1");
}

TEST(SnapshotStore, RejectsASnapshotThatDoesNotFitTheSite) {
  std::string why;
  EXPECT_FALSE(kept_of(sample(), config::Site{}, why));
  EXPECT_EQ(why, "it does not fit here any more: team[0].class[0].name: 'any' is no class of the "
                 "settings; use one that is");
}

}  // namespace
}  // namespace gorsebeam::snapshot_store
