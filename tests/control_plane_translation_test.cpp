// Tests the pure functions of the control plane client, which translate settings, log records and
// configuration updates.

#include "control_plane/configuration_update.h"
#include "control_plane/log_records.h"
#include "control_plane/tracker_settings.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace gorsebeam::control_plane {
namespace {

using config_versions::ResourceType;

TEST(TrackerSettings, KeepDefaultsForMissingValues) {
  const config_versions::TrackerSettings settings =
      make_tracker_settings(config::OperatorFile{}, 7);

  EXPECT_TRUE(settings.stream.addresses.empty());
  EXPECT_EQ(settings.stream.max_reconnect_backoff, 30s);
  EXPECT_EQ(settings.stream.keepalive_interval, 10s);
  EXPECT_EQ(settings.dependency_timeout, 3s);
  EXPECT_EQ(settings.seed, 7U);
}

TEST(TrackerSettings, CapTheInitialBackoffAndTheConnectTimeout) {
  config::OperatorFile file;
  config::pb::ControlService* service = file.gateway.mutable_control_service();
  service->add_address("127.0.0.1:1");
  service->set_reconnect_most_ms(100);
  service->set_silence_ms(2000);
  service->set_hold_ms(500);

  const config_versions::TrackerSettings settings = make_tracker_settings(file, 1);

  EXPECT_EQ(settings.stream.addresses, std::vector<std::string>{"127.0.0.1:1"});
  EXPECT_EQ(settings.stream.initial_reconnect_backoff, 100ms);
  EXPECT_EQ(settings.stream.connect_timeout, 2000ms);
  EXPECT_EQ(settings.dependency_timeout, 500ms);
}

TEST(LogRecords, NameTheResponseAndLeaveOutItsEmptyFields) {
  const config_versions::ResponseIdentity response{ResourceType::Limits, "l1", "n4"};

  EXPECT_EQ(logging::to_text(to_record(config_versions::VersionReceived{response})),
            "config_version_received type=limits version=l1 nonce=n4");
  EXPECT_EQ(logging::to_text(to_record(config_versions::VersionRejected{{}, "damaged"})),
            "config_version_rejected error=damaged");
  EXPECT_EQ(logging::to_text(to_record(config_versions::StreamLost{"reset"}, "127.0.0.1:1")),
            "control_stream_lost address=127.0.0.1:1 error=reset");
}

TEST(ConfigurationUpdate, HoldsOnlyChangedTypes) {
  const auto limits = std::make_shared<const config::v1::Limits>();
  config_versions::ApplyConfiguration action;
  action.bodies = {std::make_shared<const config::v1::Contracts>(),
                   std::make_shared<const config::v1::Members>(), limits};
  action.changed = {false, false, true};

  const ConfigurationUpdate update = to_configuration_update(action);

  EXPECT_FALSE(update.contracts);
  EXPECT_FALSE(update.members);
  ASSERT_TRUE(update.limits);
  EXPECT_EQ(&update.limits->get(), limits.get());
}

}  // namespace
}  // namespace gorsebeam::control_plane
