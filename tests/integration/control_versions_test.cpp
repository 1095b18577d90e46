// Versions from the control service that are valid, invalid, out of order, or in conflict with the
// requests in flight.
#include "control_plane_test_support.h"

using namespace test_harness;
using fake_control_plane::ControlService;

namespace {

class ControlPlaneVersions : public GatewayIntegrationTest {
protected:
  ControlPlaneVersions() : gateway_(protocol()) {}

  void start_under_load() {
    gateway_.start({service_.address()});
    load_ = std::make_unique<BackgroundLoad>(gateway_.harness, 8);
    load_->await_subscriptions(service_);
  }

  // Pushes `resource` as `version`. Returns the error of the gateway's NACK, empty for an ACK.
  std::string push_under_load(const google::protobuf::Message& resource,
                              const std::string& version) {
    const std::string nonce = service_.push(resource, version);
    load_->await_responses(5);
    return service_.await_ack(nonce);
  }

  // Adds a replica to the harness, which listens at a new address.
  StubEndpoint& add_replica(const std::string& name) {
    auto& endpoints = gateway_.harness.endpoints;
    endpoints.push_back(std::make_unique<StubEndpoint>(
        gateway_.harness, name, EndpointRole::Replica, EndpointRole::Replica));
    return *endpoints.back();
  }

  void await_requests(const StubEndpoint& replacement) {
    load_->wait_until(
        [&] {
          return replacement.request_count > 0;
        },
        "requests to the new address of endpoint " + replacement.name);
  }

  void expect_bad_resources_rejected();
  void expect_unknown_resources_rejected();
  void expect_older_generation_rejected_unless_rolled_back();
  StubEndpoint& expect_removal_with_request_in_flight();
  void expect_readded_endpoint_used_at_new_address(const StubEndpoint& removed);
  void expect_moved_endpoint_used_at_new_address(StubEndpoint& moved);
  void expect_removal_of_class_team_and_group_applied();
  void expect_burst_of_versions_answered();
  void expect_limits_applied();
  void expect_message_size_limit_enforced();

  ControlledGateway gateway_;
  ControlService service_;
  std::unique_ptr<BackgroundLoad> load_;
};

void ControlPlaneVersions::expect_bad_resources_rejected() {
  pb::Members duplicate_name = gateway_.members(2);
  auto& list = mutable_endpoints(duplicate_name, protocol());
  list.at(1).set_name(list.at(0).name());
  expect_contains(push_under_load(duplicate_name, "bad"), "[1].name: 'm0' stands twice; keep one");
  pb::Members empty_list;
  empty_list.set_generation(2);
  expect_contains(push_under_load(empty_list, "empty"), "set may_be_empty if that is meant");
  pb::Contracts below_range = ControlledGateway::contracts(2);
  below_range.mutable_team(0)->mutable_budget()->set_per_second(-1);
  expect_contains(push_under_load(below_range, "below"),
                  "team[0].budget.per_second: is out of range");
  const pb::Contracts good = ControlledGateway::contracts(2);
  pb::Contracts bad = ControlledGateway::contracts(2, {"nothing"});
  bad.mutable_team(0)->set_name("other");
  expect_contains(service_.await_ack(service_.push({&good, &bad}, "one-bad")),
                  "'nothing' is no class of the settings");
  expect_contains(push_under_load(ControlledGateway::contracts(0), "none"), "no generation");
}

void ControlPlaneVersions::expect_unknown_resources_rejected() {
  pb::Contracts unknown_field = ControlledGateway::contracts(2);
  pb::Contracts::GetReflection()
      ->MutableUnknownFields(unknown_field.mutable_team(0))
      ->AddVarint(99, 1);
  expect_contains(push_under_load(unknown_field, "unknown"),
                  "team[0]: field number 99 of Team is not known to this version");
  const pb::Contracts good = ControlledGateway::contracts(2);
  expect_contains(
      service_.await_ack(service_.push({&good}, "strange", "type.googleapis.com/other")),
      "is not known here");
  expect_contains(service_.await_ack(
                      service_.push({}, "none", "type.googleapis.com/gorsebeam.config.v1.Members")),
                  "no resource");
}

void ControlPlaneVersions::expect_older_generation_rejected_unless_rolled_back() {
  ASSERT_EQ(push_under_load(gateway_.contracts(5), "c5"), "");
  expect_contains(push_under_load(ControlledGateway::contracts(4, {"any"}), "c4"),
                  "generation 4 is older than 5");
  pb::Contracts rollback = ControlledGateway::contracts(4);
  rollback.set_rolls_back(5);
  ASSERT_EQ(push_under_load(rollback, "back"), "");
  load_->await_responses(40);
  load_->expect_all_served();
}

// Removes the endpoint with a request in flight, or another one if that is the primary: the request
// still gets its one response, and the endpoint gets no new requests. Returns the removed endpoint.
StubEndpoint& ControlPlaneVersions::expect_removal_with_request_in_flight() {
  GatewayHarness& harness = gateway_.harness;
  const auto waiting = harness.connect_client();
  load_->pause();
  harness.script = {ScriptedResponse::NoResponse};
  waiting->send_request(read_request("in-flight", 700));
  harness.await_first_attempt("in-flight");
  StubEndpoint* removed = harness.attempts.back().endpoint;
  if (removed->listed_as_primary)
    removed = harness.endpoints[1].get();  // the group keeps its primary
  removed->listed_status = ListedStatus::Removed;
  const std::string error = service_.push_and_await_ack(gateway_.members(6), "m6");
  require(error.empty(), "version m6 was rejected: " + error);
  run_main_loop_for(std::chrono::milliseconds(250));
  const int request_count = removed->request_count;
  load_->resume();
  load_->await_responses(60);
  // The stub endpoints check that no second attempt was in flight meanwhile.
  const ClientResult result = waiting->await_response();
  require(result == ClientResult::Rejected,
          "the request in flight ended as " + testing::PrintToString(result) + ", not as Rejected");
  require(removed->request_count == request_count,
          "endpoint " + removed->name + " got " +
              std::to_string(removed->request_count - request_count) +
              " requests after its removal");
  return *removed;
}

void ControlPlaneVersions::expect_readded_endpoint_used_at_new_address(
    const StubEndpoint& removed) {
  const int request_count = removed.request_count;
  StubEndpoint& replacement = add_replica(removed.name);
  ASSERT_EQ(push_under_load(gateway_.members(7), "m7"), "");
  await_requests(replacement);
  load_->await_responses(50);
  ASSERT_EQ(removed.request_count, request_count);
}

// The endpoint's address changes from one version to the next.
void ControlPlaneVersions::expect_moved_endpoint_used_at_new_address(StubEndpoint& moved) {
  moved.listed_status = ListedStatus::Removed;
  StubEndpoint& replacement = add_replica(moved.name);
  ASSERT_EQ(push_under_load(gateway_.members(8), "m8"), "");
  await_requests(replacement);
  moved.await_connections_closed();
  const int request_count = moved.request_count;
  load_->await_responses(50);
  ASSERT_EQ(moved.request_count, request_count);
}

// Removes the class, then the team and then the whole group. Each request fails or is rejected
// once, and requests are served again when the group is listed again.
void ControlPlaneVersions::expect_removal_of_class_team_and_group_applied() {
  ASSERT_EQ(push_under_load(gateway_.contracts(6, {"save"}), "c6"), "");
  load_->await_result(ClientResult::Failed);
  pb::Contracts other_team = ControlledGateway::contracts(7);
  other_team.mutable_team(0)->set_name("others");
  ASSERT_EQ(push_under_load(other_team, "c7"), "");
  load_->await_responses(20);
  ASSERT_EQ(push_under_load(gateway_.contracts(8), "c8"), "");
  pb::Members none;
  none.set_generation(9);
  none.set_may_be_empty(true);
  ASSERT_EQ(push_under_load(none, "m9"), "");
  load_->await_responses(10);
  load_->pause();
  ASSERT_EQ(service_.push_and_await_ack(gateway_.members(10), "m10"), "");
  load_->resume();
  load_->await_result(ClientResult::Served);
}

void ControlPlaneVersions::expect_burst_of_versions_answered() {
  std::vector<std::string> nonces;
  for (unsigned i = 0; i < 200; ++i)
    nonces.push_back(service_.push(ControlledGateway::contracts(100 + i), "b"));
  load_->await_responses(50);
  for (const std::string& nonce : nonces)
    ASSERT_EQ(service_.await_ack(nonce), "");
}

// A new limit on the size of a message applies to requests that arrive after it.
void ControlPlaneVersions::expect_limits_applied() {
  pb::Limits limits;
  limits.set_generation(1);
  limits.set_message_kib(64);
  ASSERT_EQ(push_under_load(limits, "l1"), "");
  Request large = keyed_write("large");
  large.idempotency_key.assign(80 * 1024, 'k');
  const auto sender = gateway_.harness.connect_client();
  run_main_loop_for(
      std::chrono::milliseconds(60));  // the gateway applies versions at most once in 50 ms
  sender->write(protocol().encode_request(large));
  load_->wait_until(
      [&] {
        return sender->closed_by_gateway;
      },
      "the connection of the oversized request to be closed");
  // The gateway never accepted the oversized request, so its error does not count as a response.
  gateway_.harness.response_count -= static_cast<int>(sender->responses.size());
  limits.set_generation(2);
  limits.set_message_kib(4);
  expect_contains(push_under_load(limits, "l2"), "message_kib: is out of range; give 64 to 16384");
}

// The gateway accepts 10,000 more endpoints in other groups; a message longer than 4 MiB ends the
// stream.
void ControlPlaneVersions::expect_message_size_limit_enforced() {
  pb::Members many = gateway_.members(11);
  auto& list = mutable_endpoints(many, protocol());
  for (int i = 0; i < 10'000; ++i) {
    pb::Member& member = *list.Add();
    member.set_name("extra-" + std::to_string(i));
    member.set_group(1000 + static_cast<unsigned>(i) / 4);
    member.set_address("127.0.0.1:" + std::to_string(1 + i % 60000));
    member.set_state(pb::Member::DRAINING);
  }
  ASSERT_EQ(push_under_load(many, "many"), "");
  ASSERT_EQ(push_under_load(gateway_.members(12), "few"), "");
  const int stream_count = service_.stream_count();
  for (int i = 0; i < 150'000; ++i)
    *list.Add() = list.at(3);
  service_.push(many, "too-much");
  load_->await_new_stream(service_, stream_count);
  ASSERT_TRUE(gateway_.has_logged("longer than 4 MiB"));
}

TEST_P(ControlPlaneVersions, AppliesValidAndRejectsInvalidVersionsUnderLoad) {
  start_under_load();
  ASSERT_EQ(service_.received_requests()[0].node, "gw-1");
  ASSERT_EQ(push_under_load(gateway_.members(1), "m1"), "");
  ASSERT_EQ(push_under_load(gateway_.contracts(1), "c1"), "");
  load_->await_responses(40);
  load_->expect_all_served();

  expect_bad_resources_rejected();
  expect_unknown_resources_rejected();
  expect_older_generation_rejected_unless_rolled_back();
  StubEndpoint& removed = expect_removal_with_request_in_flight();
  StubEndpoint& second = *gateway_.harness.endpoints[1];
  StubEndpoint& third = *gateway_.harness.endpoints[2];
  expect_readded_endpoint_used_at_new_address(removed);
  expect_moved_endpoint_used_at_new_address(&removed == &third ? second : third);
  expect_removal_of_class_team_and_group_applied();
  expect_burst_of_versions_answered();
  expect_limits_applied();
  expect_message_size_limit_enforced();
  load_->pause();
  gateway_.harness.expect_invariants_and_running();
}

class ControlPlaneDependencies : public GatewayIntegrationTest {};

// Contracts may name only groups that have endpoints, and for PostgreSQL the endpoint list says
// which groups those are. The gateway applies contracts and the list together, in whichever order
// they arrive, and rejects the one that arrives without the other.
TEST_P(ControlPlaneDependencies, AppliesDependentResourcesTogetherOrNotAtAll) {
  ControlledGateway gateway(protocol());
  ControlService service;
  gateway.start({service.address()});
  await_subscriptions(service);
  pb::Contracts contracts = ControlledGateway::contracts(1);
  contracts.mutable_team(0)->add_group(0);
  contracts.mutable_team(0)->add_group(7);
  pb::Members members = gateway.members(1);
  pb::Member& member = *members.add_postgres();
  member.set_name("in-group-7");
  member.set_address("127.0.0.1:9");
  member.set_group(7);

  expect_contains(service.await_ack(service.push(contracts, "alone")),
                  "group 7 of team 'portal' has no member");
  contracts.set_generation(2);
  const std::string nonce = service.push(contracts, "c2");
  gateway.harness.gateway.await_log("config_version_pending");
  ASSERT_EQ(service.push_and_await_ack(members, "m1"), "");
  ASSERT_EQ(service.await_ack(nonce), "");
  expect_contains(service.push_and_await_ack(gateway.members(2), "m2"),
                  "group 7 of team 'portal' has no member");
  const auto client = gateway.harness.connect_client();
  ASSERT_EQ(client->send_and_await(read_request("fine")), ClientResult::Served);
  gateway.harness.expect_invariants();
}

INSTANTIATE_TEST_SUITE_P(, ControlPlaneVersions, both_protocols(), protocol_name);
INSTANTIATE_TEST_SUITE_P(, ControlPlaneDependencies, postgres_only(), protocol_name);

}  // namespace
