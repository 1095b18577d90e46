// The snapshot of accepted versions on disk, a gateway without a control service, and a listener
// whose address changes at a reload.
#include "control_plane_test_support.h"

#include "snapshot_store/snapshot_codec.h"
#include "snapshot_store/snapshot_file.h"

#include <csignal>
#include <fstream>
#include <unistd.h>

using namespace test_harness;
using fake_control_plane::ControlService;

namespace {

class ControlSnapshot : public GatewayIntegrationTest {
protected:
  ControlSnapshot()
      : folder_(make_temporary_folder()), path_(folder_ + "/last-good"),
        operator_text_("state_folder: '" + folder_ + "'\n") {}

  // Lets a gateway accept contracts that allow only class `save`, and waits until it has written
  // the snapshot.
  void write_snapshot_of_accepted_version() const;
  // Starts a gateway that cannot reach its control service. Asserts that it logs `log_text` and
  // that a read ends with `read_result`.
  void expect_start_from_snapshot(ClientResult read_result, const char* log_text) const;
  // Removes the state folder. Asserts that a gateway logs the failed write of its snapshot and
  // serves requests.
  void expect_serves_without_folder() const;

  void overwrite_snapshot(const std::string& bytes) const {
    std::ofstream(path_, std::ios::binary) << bytes;
  }

  std::string folder_;
  std::string path_;
  std::string operator_text_;
};

void ControlSnapshot::write_snapshot_of_accepted_version() const {
  ControlledGateway gateway(protocol());
  ControlService service;
  gateway.start({service.address()}, operator_text_);
  await_subscriptions(service);
  ASSERT_EQ(service.push_and_await_ack(gateway.contracts(3, {"save"}), "c3"), "");
  wait_until(
      [&] {
        return access(path_.c_str(), F_OK) == 0;
      },
      "the snapshot to be written");
  std::string output;
  ASSERT_EQ(run_program({"config", "show", "--state", folder_}, output), 0) << output;
  expect_contains(output, "# contracts: version c3, generation 3 (newest 3), from 127.0.0.1:");
  ASSERT_NE(access((path_ + ".new").c_str(), F_OK), 0);
}

void ControlSnapshot::expect_start_from_snapshot(ClientResult read_result,
                                                 const char* log_text) const {
  SCOPED_TRACE(log_text);
  ControlledGateway gateway(protocol());
  gateway.start({"127.0.0.1:9"}, operator_text_);
  gateway.harness.gateway.await_log(log_text);
  const auto client = gateway.harness.connect_client();
  ASSERT_EQ(client->send_and_await(read_request("one")), read_result);
  gateway.harness.expect_invariants();
}

void ControlSnapshot::expect_serves_without_folder() const {
  unlink(path_.c_str());
  // A program that was killed while it wrote a snapshot may have left this file.
  unlink((path_ + ".new").c_str());
  ASSERT_EQ(rmdir(folder_.c_str()), 0);
  ControlledGateway gateway(protocol());
  ControlService service;
  gateway.start({service.address()}, operator_text_);
  await_subscriptions(service);
  ASSERT_EQ(service.push_and_await_ack(gateway.contracts(1), "c1"), "");
  gateway.harness.gateway.await_log("snapshot_write_failed");
  const auto client = gateway.harness.connect_client();
  ASSERT_EQ(client->send_and_await(read_request("one")), ClientResult::Served);
  gateway.harness.expect_invariants();
}

// The gateway restores the accepted version from its snapshot. It logs and ignores a snapshot that
// is damaged, that has a newer schema, or that is not valid with the current configuration, and it
// serves requests without the state folder.
TEST_P(ControlSnapshot, RestoresAcceptedVersionAndIgnoresUnusableSnapshot) {
  write_snapshot_of_accepted_version();
  // The restored contract allows no reads.
  expect_start_from_snapshot(ClientResult::Failed,
                             "snapshot_restored versions=\"contracts version c3\"");
  const std::string& folder = folder_;
  const auto loaded = gorsebeam::snapshot_store::load_snapshot(folder);
  ASSERT_TRUE(loaded) << loaded.error().message;
  const gorsebeam::state::v1::LastGood& last_good = loaded.value();
  const std::string bytes = gorsebeam::snapshot_store::encode_snapshot(last_good);
  overwrite_snapshot(bytes.substr(0, bytes.size() - 3));
  expect_start_from_snapshot(ClientResult::Served, "snapshot_rejected");
  std::string flipped = bytes;
  flipped[flipped.size() / 2] ^= 1;
  overwrite_snapshot(flipped);
  expect_start_from_snapshot(ClientResult::Served,
                             "the snapshot is damaged: its checksum does not match its content");
  auto newer = last_good;
  newer.set_schema(99);
  overwrite_snapshot(gorsebeam::snapshot_store::encode_snapshot(newer));
  expect_start_from_snapshot(
      ClientResult::Served,
      "the snapshot has schema 99, but the newest schema that this program reads is 1");
  auto incompatible = last_good;
  incompatible.mutable_contracts_value()->mutable_team(0)->mutable_class_(0)->set_name("gone");
  overwrite_snapshot(gorsebeam::snapshot_store::encode_snapshot(incompatible));
  expect_start_from_snapshot(ClientResult::Served,
                             "the snapshot is not valid with the current configuration");

  expect_serves_without_folder();
}

// The operators' file names a state folder but no control service: the gateway connects to no
// service and writes no snapshot.
TEST_P(ControlSnapshot, WritesNothingWithoutControlService) {
  GatewayHarness harness(protocol(), 2, 0, operator_text_);
  harness.start();
  const auto client = harness.connect_client();
  expect_reads_served(*client, "r", 10);
  harness.publish_inventory();
  ASSERT_EQ(client->send_and_await(read_request("last")), ClientResult::Served);
  for (const char* event : {"control_stream", "config_version", "snapshot_"})
    ASSERT_EQ(harness.gateway.log.find(event), std::string::npos) << event;
  ASSERT_EQ(rmdir(folder_.c_str()), 0)
      << "the state folder " << folder_ << " is not empty, or cannot be removed";
  harness.expect_invariants();
}

class ListenerReload : public GatewayIntegrationTest {};

// A reload changes the listener's address while a request is in flight, and its connection stays
// open. A second reload changes the log format to JSON.
TEST_P(ListenerReload, MovesListenerAndKeepsConnections) {
  GatewayHarness harness(protocol(), 2, 0);
  harness.start();
  const auto old_client = harness.connect_client();
  ASSERT_EQ(old_client->send_and_await(read_request("one")), ClientResult::Served);
  harness.script = {ScriptedResponse::NoResponse};
  old_client->send_request(read_request("open", 900));
  harness.await_first_attempt("open");
  harness.listen_host = "127.0.0.2";
  harness.write_operator_file("");
  harness.publish_inventory();
  expect_contains(harness.gateway.log, "listener_started protocol=MongoDB address=127.0.0.2:");
  harness.update_address();

  const auto new_client = harness.connect_client();
  ASSERT_EQ(new_client->send_and_await(read_request("two")), ClientResult::Served);
  ASSERT_EQ(old_client->await_response(), ClientResult::Rejected);
  ASSERT_EQ(old_client->send_and_await(read_request("three")), ClientResult::Served);

  harness.write_operator_file("log { format: JSON }");
  harness.gateway.send_signal(SIGHUP);
  harness.gateway.await_log(R"("event":"reload_complete")");
  harness.expect_invariants();
}

INSTANTIATE_TEST_SUITE_P(, ControlSnapshot, both_protocols(), protocol_name);
INSTANTIATE_TEST_SUITE_P(, ListenerReload, mongo_only(), protocol_name);

}  // namespace
