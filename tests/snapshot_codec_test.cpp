#include "snapshot_store/snapshot_codec.h"
#include "xds/resources.h"

#include <gtest/gtest.h>

#include <array>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

namespace gorsebeam::snapshot_store {
namespace {

state::v1::LastGood make_sample() {
  state::v1::LastGood snapshot;
  snapshot.set_schema(1);
  state::v1::Part* contracts = snapshot.mutable_contracts();
  contracts->set_held(true);
  contracts->set_version("c3");
  contracts->set_source("127.0.0.1:15010");
  contracts->set_accepted_unix_ms(1'754'000'000'123);
  contracts->set_generation(5);
  contracts->set_newest(7);
  snapshot.mutable_contracts_value()->set_generation(5);
  config::pb::Team* team = snapshot.mutable_contracts_value()->add_team();
  team->set_name("portal");
  team->mutable_budget()->set_per_second(3);
  team->mutable_budget()->set_burst(2);
  team->add_class_()->set_name("any");
  // Marks the part of the members as present, so that it is written although it is empty.
  snapshot.mutable_members();
  state::v1::Part* limits = snapshot.mutable_limits();
  limits->set_held(true);
  limits->set_version("l1");
  limits->set_source("127.0.0.1:15010");
  limits->set_generation(9);
  limits->set_newest(9);
  snapshot.mutable_limits_value()->set_generation(9);
  snapshot.mutable_limits_value()->set_client_connections(100);
  return snapshot;
}

// A snapshot file that the program wrote from make_sample() at commit d929b66. A later version of
// the program must write and read the same bytes.
constexpr std::array<unsigned char, 140> kRecordedFile = {
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

TEST(SnapshotCodec, EncodesTheRecordedBytes) {
  EXPECT_EQ(encode_snapshot(make_sample()), recorded_file());
}

TEST(SnapshotCodec, DecodesARecordedFileAndEncodesTheSameBytesAgain) {
  const auto snapshot = decode_snapshot(recorded_file());
  ASSERT_TRUE(snapshot) << snapshot.error().message;
  EXPECT_EQ(snapshot.value().schema(), 1U);
  EXPECT_EQ(snapshot.value().contracts().version(), "c3");
  EXPECT_EQ(snapshot.value().contracts().newest(), 7U);
  EXPECT_EQ(snapshot.value().contracts_value().team(0).name(), "portal");
  EXPECT_FALSE(snapshot.value().members().held());
  EXPECT_EQ(snapshot.value().limits_value().client_connections(), 100U);
  EXPECT_EQ(encode_snapshot(snapshot.value()), recorded_file());
}

TEST(SnapshotCodec, MakesTheSameBytesFromATrackerThatRestoredARecordedFile) {
  const auto snapshot = decode_snapshot(recorded_file());
  ASSERT_TRUE(snapshot) << snapshot.error().message;
  config::ValidationContext context;
  context.classes = {{"any", 0}};
  auto versions = validate_snapshot(snapshot.value(), context);
  ASSERT_TRUE(versions) << versions.error().message;
  config_versions::VersionTracker tracker({}, [](const config_versions::Bodies&) {
    return std::nullopt;
  });
  tracker.set_file_versions({xds::make_file_version(config::pb::Contracts()),
                             xds::make_file_version(config::pb::Members()),
                             xds::make_file_version(config::pb::Limits())});
  const auto error = tracker.restore_snapshot(std::move(versions.value()));
  ASSERT_FALSE(error) << error->message;
  EXPECT_EQ(encode_snapshot(make_snapshot(tracker)), recorded_file());
}

void expect_decode_error(const std::string& bytes, SnapshotError::Code code,
                         const std::string& message) {
  const auto snapshot = decode_snapshot(bytes);
  ASSERT_FALSE(snapshot);
  EXPECT_EQ(snapshot.error().code, code);
  EXPECT_EQ(snapshot.error().message, message);
}

TEST(SnapshotCodec, RejectsAForeignFile) {
  expect_decode_error("gorsebeam", SnapshotError::Code::InvalidHeader,
                      "the file is not a gorsebeam snapshot, or its header is damaged");
}

TEST(SnapshotCodec, RejectsADamagedFile) {
  std::string damaged = recorded_file();
  damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 1);
  expect_decode_error(damaged, SnapshotError::Code::ChecksumMismatch,
                      "the snapshot is damaged: its checksum does not match its content");
}

TEST(SnapshotCodec, RejectsANewerSchema) {
  state::v1::LastGood newer = make_sample();
  newer.set_schema(2);
  expect_decode_error(
      encode_snapshot(newer), SnapshotError::Code::UnsupportedSchema,
      "the snapshot has schema 2, but the newest schema that this program reads is 1");
}

TEST(SnapshotCodec, RejectsASnapshotThatNamesAnUnknownClass) {
  const auto versions = validate_snapshot(make_sample(), config::ValidationContext{});
  ASSERT_FALSE(versions);
  EXPECT_EQ(versions.error().code, SnapshotError::Code::InvalidContent);
  EXPECT_EQ(versions.error().message, "the snapshot is not valid with the current configuration: "
                                      "Contracts: team[0].class[0].name: 'any' is no class of the "
                                      "settings; use one that is");
}

}  // namespace
}  // namespace gorsebeam::snapshot_store
